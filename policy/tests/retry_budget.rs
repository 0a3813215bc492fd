//! Which failed attempts may be retried, and how many retries the budget allows.

use std::time::Duration;

use laburnumdeal_policy::{NotRunProof, RetryBudget, RetryRequest, may_retry};
use tokio::time::Instant;

fn request(now: Instant) -> RetryRequest {
    RetryRequest {
        idempotent: true,
        proof: None,
        attempts: 1,
        max_attempts: 2,
        deadline: now + Duration::from_millis(100),
        min_attempt: Duration::from_millis(10),
    }
}

#[test]
fn may_retry_without_proof() {
    let now = Instant::now();
    assert!(may_retry(&request(now), now));
    let unsafe_request = RetryRequest {
        idempotent: false,
        ..request(now)
    };
    assert!(!may_retry(&unsafe_request, now));
    for proof in [
        NotRunProof::NoByteLeft,
        NotRunProof::ConnectionRefused,
        NotRunProof::Shed,
    ] {
        let proven = RetryRequest {
            proof: Some(proof),
            ..unsafe_request
        };
        assert!(may_retry(&proven, now), "{proof}");
    }
}

#[test]
fn may_retry_deadline() {
    let now = Instant::now();
    assert!(may_retry(&request(now), now + Duration::from_millis(89)));
    assert!(!may_retry(&request(now), now + Duration::from_millis(90)));
    assert!(!may_retry(&request(now), now + Duration::from_secs(5)));
}

#[test]
fn may_retry_attempts() {
    let now = Instant::now();
    let spent = RetryRequest {
        attempts: 2,
        ..request(now)
    };
    assert!(!may_retry(&spent, now));
}

#[test]
fn withdraw_all_attempts_fail() {
    let budget = RetryBudget::new(100, 10);
    let retries = (0..10_000)
        .filter(|_| {
            budget.deposit();
            budget.withdraw()
        })
        .count();
    assert!((1_000..=1_010).contains(&retries), "{retries} retries");
}

#[test]
fn deposit_beyond_limit() {
    let budget = RetryBudget::new(1_000, 3);
    (0..100).for_each(|_| budget.deposit());
    assert_eq!(budget.retries(), 3);
    assert_eq!((0..100).filter(|_| budget.withdraw()).count(), 3);
}
