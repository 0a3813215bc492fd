//! Attempts without an answer at upstreams that turn out to have ended.

use std::time::Duration;

use laburnumdeal_policy::steer::{UnansweredAttempts, UpstreamKey};
use tokio::time::Instant;

const FIRST: UpstreamKey = UpstreamKey(1);
const SECOND: UpstreamKey = UpstreamKey(2);

fn after(start: Instant, seconds: u64) -> Instant {
    start + Duration::from_secs(seconds)
}

#[test]
fn take_crashed_returns_attempts_at_the_upstream_once() {
    let start = Instant::now();
    let mut attempts = UnansweredAttempts::default();
    attempts.record(FIRST, 7, start);
    attempts.record(SECOND, 8, start);
    assert_eq!(attempts.take_crashed(FIRST, None, after(start, 2)), [7]);
    assert!(
        attempts
            .take_crashed(FIRST, None, after(start, 2))
            .is_empty()
    );
    assert_eq!(attempts.upstreams().collect::<Vec<_>>(), [SECOND]);
}

#[test]
fn take_crashed_leaves_out_attempts_before_an_answer() {
    let start = Instant::now();
    let mut attempts = UnansweredAttempts::default();
    attempts.record(FIRST, 7, start);
    attempts.record(FIRST, 8, after(start, 2));
    let answered_at = Some(after(start, 1));
    assert_eq!(
        attempts.take_crashed(FIRST, answered_at, after(start, 3)),
        [8]
    );
}

#[test]
fn take_crashed_leaves_out_old_attempts() {
    let start = Instant::now();
    let mut attempts = UnansweredAttempts::default();
    attempts.record(FIRST, 7, start);
    assert!(
        attempts
            .take_crashed(FIRST, None, after(start, 10))
            .is_empty()
    );
}

#[test]
fn record_is_bounded_per_upstream() {
    let start = Instant::now();
    let mut attempts = UnansweredAttempts::default();
    for fingerprint in 0..1_000 {
        attempts.record(FIRST, fingerprint, start);
    }
    assert!(attempts.take_crashed(FIRST, None, start).len() <= 64);
}
