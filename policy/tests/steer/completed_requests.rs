use std::time::Duration;

use laburnumdeal_policy::steer::CompletedRequests;
use tokio::time::Instant;

#[test]
fn is_recent_run_of_long_ago_is_not() {
    let now = Instant::now();
    let mut completed = CompletedRequests::default();
    completed.record(7, now);
    assert!(completed.is_recent(7, now + Duration::from_secs(59)));
    assert!(!completed.is_recent(7, now + Duration::from_secs(60)));
    completed.record(7, now + Duration::from_secs(61));
    assert!(completed.is_recent(7, now + Duration::from_secs(62)));
}

#[test]
fn record_many_requests_forgets_the_first() {
    let now = Instant::now();
    let mut completed = CompletedRequests::default();
    (0..5_000).for_each(|fingerprint| completed.record(fingerprint, now));
    assert!(!completed.is_recent(0, now));
    assert!(completed.is_recent(4_999, now));
}
