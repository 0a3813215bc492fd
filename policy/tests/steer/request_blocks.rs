use std::time::Duration;

use laburnumdeal_policy::steer::{RequestBlocks, RequestFingerprints};
use tokio::time::Instant;

fn request(caller: u8) -> RequestFingerprints {
    RequestFingerprints::new(&[caller], &[b"shop.example", b"GET", b"/page", b""])
}

/// Returns blocks after a crash of another upstream under the request of each of three callers.
fn after_three_crashes(now: Instant) -> RequestBlocks {
    let mut blocks = RequestBlocks::default();
    for caller in 0..3 {
        for fingerprint in request(caller).both() {
            blocks
                .reports
                .add_crash(fingerprint, u64::from(caller), now);
        }
    }
    blocks
}

#[test]
fn refuses_request_of_another_caller_after_three_crashes() {
    let now = Instant::now();
    let mut blocks = after_three_crashes(now);
    assert!(blocks.refuses(request(9), now));
    assert_eq!(blocks.known(request(9), now).0, 3);
}

// Guards against: a page that many callers read is refused everywhere because several upstreams that
// were serving it ended for another reason.
#[test]
fn refuses_page_that_upstreams_complete_is_not() {
    let now = Instant::now();
    let mut blocks = after_three_crashes(now);
    blocks.record_completed(request(8), now);
    assert!(!blocks.refuses(request(9), now + Duration::from_secs(59)));
    assert!(blocks.refuses(request(9), now + Duration::from_secs(61)));
}

#[test]
fn refuses_caller_whose_request_crashed_two_although_others_complete_it() {
    let now = Instant::now();
    let mut blocks = after_three_crashes(now);
    blocks.record_completed(request(8), now);
    blocks.reports.add_crash(request(1).by_caller, 77, now);
    assert!(blocks.refuses(request(1), now));
}

// Guards against: a request that ran beside a crashing one on two upstreams is refused for minutes,
// though upstreams complete it.
#[test]
fn refuses_request_completed_for_its_caller_after_a_third_crash_only() {
    let now = Instant::now();
    let mut blocks = RequestBlocks::default();
    assert_eq!(blocks.record_completed(request(1), now), None);
    for upstream in [1, 2] {
        blocks
            .reports
            .add_crash(request(1).by_caller, upstream, now);
    }
    assert!(!blocks.refuses(request(1), now));
    blocks.reports.add_crash(request(1).by_caller, 3, now);
    assert!(blocks.refuses(request(1), now));
}

#[test]
fn record_completed_run_after_crashes_is_told_to_others() {
    let now = Instant::now();
    let (mut here, mut there) = (RequestBlocks::default(), RequestBlocks::default());
    for upstream in [1, 2] {
        for blocks in [&mut here, &mut there] {
            blocks
                .reports
                .add_crash(request(1).by_caller, upstream, now);
        }
    }
    let later = now + Duration::from_secs(1);
    let report = here.record_completed(request(1), later).unwrap();
    there.reports.merge(&[report], later);
    assert!(!here.refuses(request(1), later) && !there.refuses(request(1), later));
    assert_eq!(here.record_completed(request(1), later), None);
}
