//! Requests that crash every upstream that runs them, and other requests in flight at the same time.

use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::{PoisonCheck, PoisonSettings, PoisonTable};

const POISON: u64 = 666;
const FIRST: UpstreamId = UpstreamId(1);
const SECOND: UpstreamId = UpstreamId(2);
const SETTINGS: PoisonSettings = PoisonSettings {
    refuse_ms: 60_000,
    remember_ms: 600_000,
    same_crash_ms: 2_000,
    mark_limit: 10,
};

fn table() -> PoisonTable {
    PoisonTable::new(SETTINGS)
}

/// Returns a table with one request that crashed two upstreams, at 1 s and at 5 s.
fn crashed_twice() -> PoisonTable {
    let mut table = table();
    table.on_crash(&[POISON], FIRST, 1_000);
    table.on_crash(&[POISON], SECOND, 5_000);
    table
}

#[test]
fn check_two_crashes() {
    let table = crashed_twice();
    let refused = |retry_after_ms| PoisonCheck::Refused { retry_after_ms };
    assert_eq!(table.check(POISON, 5_000), refused(60_000));
    assert_eq!(table.check(POISON, 64_999), refused(1));
    assert_eq!(table.check(POISON, 65_000), PoisonCheck::Suspect);
    assert_eq!(table.check(POISON, 605_000), PoisonCheck::Clear);
}

#[test]
fn check_third_crash() {
    let mut table = crashed_twice();
    table.on_crash(&[POISON], FIRST, 70_000);
    assert!(matches!(
        table.check(POISON, 70_001),
        PoisonCheck::Refused { .. }
    ));
}

#[test]
fn on_crash_bystanders() {
    let mut table = table();
    table.on_crash(&[1, 2, POISON], FIRST, 1_000);
    for fingerprint in [1, 2, POISON] {
        assert_eq!(table.check(fingerprint, 1_001), PoisonCheck::Suspect);
    }
    assert!(table.try_start_suspect(1, FIRST));
    table.on_complete(1, 1_500);
    assert_eq!(table.check(1, 1_500), PoisonCheck::Clear);
    assert!(table.try_start_suspect(POISON, FIRST));
    table.on_crash(&[POISON], FIRST, 9_000);
    assert_eq!(table.check(2, 9_000), PoisonCheck::Suspect);
    assert!(matches!(
        table.check(POISON, 9_000),
        PoisonCheck::Refused { .. }
    ));
}

#[test]
fn on_crash_same_crash() {
    let mut table = table();
    table.on_crash(&[POISON], FIRST, 1_000);
    table.on_crash(&[POISON], FIRST, 1_200);
    assert_eq!(table.check(POISON, 1_200), PoisonCheck::Suspect);
}

#[test]
fn try_start_suspect_alone() {
    let mut table = table();
    table.on_crash(&[1, 2], FIRST, 1_000);
    assert!(table.try_start_suspect(1, FIRST));
    assert!(!table.try_start_suspect(1, SECOND), "on two upstreams");
    assert!(
        !table.try_start_suspect(2, FIRST),
        "next to another suspect"
    );
    assert!(table.try_start_suspect(2, SECOND));
    table.stop_suspect(1);
    assert!(table.try_start_suspect(1, FIRST));
}

#[test]
fn try_start_suspect_after_crash() {
    let mut table = table();
    table.on_crash(&[1], FIRST, 1_000);
    assert!(table.try_start_suspect(1, SECOND));
    table.on_crash(&[1], SECOND, 5_000);
    assert!(table.try_start_suspect(2, SECOND));
}

#[test]
fn merge_marks() {
    let here = crashed_twice();
    let mut there = table();
    let received = here.marks_since(0, 6_000);
    assert_eq!(there.merge(&received, 900_000), 1);
    let refused = PoisonCheck::Refused {
        retry_after_ms: 59_000,
    };
    assert_eq!(there.check(POISON, 900_000), refused);
    assert_eq!(there.merge(&received, 900_100), 0, "the same marks again");
    assert!(there.marks_since(900_001, 900_100).is_empty());
}

#[test]
fn merge_completed() {
    let (mut here, mut there) = (table(), table());
    here.on_crash(&[1], FIRST, 1_000);
    let early = here.marks_since(0, 1_100);
    there.merge(&early, 1_100);
    here.on_complete(1, 2_000);
    there.merge(&here.marks_since(1_500, 2_100), 2_100);
    assert_eq!(there.check(1, 2_100), PoisonCheck::Clear);
    here.merge(&there.marks_since(0, 2_200), 2_200);
    here.merge(&early, 1_150);
    assert_eq!(here.check(1, 2_300), PoisonCheck::Clear);
}

#[test]
fn merge_expired() {
    let mut table = table();
    let mut received = crashed_twice().marks_since(0, 5_000);
    received[0]
        .crashes
        .iter_mut()
        .for_each(|c| c.age_ms = u64::MAX);
    assert_eq!(table.merge(&received, 5_000_000), 0);
    assert!(table.is_empty());
}

#[test]
fn on_crash_beyond_limit() {
    let mut table = table();
    for fingerprint in 0..100 {
        table.on_crash(&[fingerprint], FIRST, 1_000 + fingerprint);
    }
    assert_eq!(table.len(), 10);
    assert_eq!(table.check(99, 1_100), PoisonCheck::Suspect);
    table.on_crash(&[POISON], FIRST, 1_000_000);
    assert_eq!(table.len(), 1);
}

#[test]
fn refuse_poison_and_serve_bystanders() {
    let mut table = table();
    let mut crashes = 0;
    let mut served = [false; 9];
    for resend in 0..100 {
        let now_ms = 1_000 + resend * 10_000;
        let upstream = UpstreamId(resend as u32 % 14);
        let check = table.check(POISON, now_ms);
        let bystanders: Vec<u64> = (0..9).filter(|f| !served[*f as usize]).collect();
        match check {
            PoisonCheck::Refused { .. } => continue,
            PoisonCheck::Suspect => table.on_crash(&[POISON], upstream, now_ms),
            PoisonCheck::Clear => {
                let in_flight: Vec<u64> = bystanders.iter().copied().chain([POISON]).collect();
                table.on_crash(&in_flight, upstream, now_ms);
            }
        }
        crashes += 1;
        for bystander in bystanders {
            assert!(!matches!(
                table.check(bystander, now_ms),
                PoisonCheck::Refused { .. }
            ));
            table.on_complete(bystander, now_ms + 100);
            served[bystander as usize] = true;
        }
    }
    assert!(served.iter().all(|s| *s));
    // At most one crash a minute over 1,000 s, and the first two.
    assert!(crashes <= 18, "{crashes} crashes");
}
