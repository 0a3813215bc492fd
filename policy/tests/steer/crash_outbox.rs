//! New crash reports on their way to other instances.

use std::time::Duration;

use laburnumdeal_policy::steer::{CrashOutbox, CrashReport, CrashReports};
use tokio::time::Instant;

// Guards against: reports look newer at the receiver, so that one crash counts as two.
#[test]
fn take_after_a_wait_returns_the_age() {
    let start = Instant::now();
    let now = start + Duration::from_secs(2);
    let (mut outbox, mut there) = (CrashOutbox::default(), CrashReports::default());
    assert!(outbox.add(CrashReport::new(7, 1), start));
    there.add_crash(7, 1, start);
    let sent = outbox.take(now);
    assert_eq!((sent[0].age_ms, sent[0].unused_ms), (2_000, 2_000));
    let new = there.merge(&sent, now);
    assert!(new.is_empty(), "it is the crash that is known: {new:?}");
}

// Guards against: the reports of a crash under many requests make a message of any length.
#[test]
fn add_beyond_the_limit_is_left_out() {
    let now = Instant::now();
    let mut outbox = CrashOutbox::default();
    let accepted = (0..10_000).filter(|hash| outbox.add(CrashReport::new(*hash, 1), now));
    assert_eq!(accepted.count(), 512);
    assert_eq!(outbox.take(now).len(), 512);
    assert!(
        outbox.add(CrashReport::new(7, 1), now),
        "there is room again"
    );
}
