//! What an entry instance knows of customers, with the answers of a leader given by hand.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_daemon::roles::{CustomerReply, CustomerState, NodeSettings};
use laburnumdeal_model::{Term, Version};
use laburnumdeal_policy::customers::{QuotaGrant, QuotaLimit, QuotaRefusal};
use tokio::time::Instant;

const LIMIT: QuotaLimit = QuotaLimit {
    milli_per_s: 1_000,
    burst: 0,
};

fn settings(revoke_ms: Option<u64>) -> NodeSettings {
    NodeSettings {
        instance: "e-1".into(),
        address: [127, 0, 0, 1].into(),
        zone: "mtl-a".into(),
        region: "mtl".into(),
        zone_regions: HashMap::new(),
        caller_address: None,
        readiness_address: None,
        metrics_address: None,
        peer_port: 7_000,
        seeds: Vec::new(),
        first_start: false,
        data_folder: None,
        machines_lost: 0,
        cold_overshoot: 1.5,
        cold_slack: 5.0,
        max_region_shift: 1.0,
        retry_ratio: 0.2,
        retry_slack: 5.0,
        stop_ms: 3_000,
        list_calls_per_s: 5.0,
        link_mbps: None,
        revoke_ms,
        quota_window_ms: 5_000,
        quota_overshoot: 0.0,
        quota_slack: 0.0,
        places_by_room: false,
        learns_capacity: false,
        checks_connections: false,
        shares_speed: false,
    }
}

/// Answers the next question with a share for each customer that it names.
fn answer(state: &CustomerState, version: Version, share: u32) {
    let (asked_at, request) = state.begin_question(version);
    let grants = request.reports.iter().map(|report| QuotaGrant {
        customer: report.customer.clone(),
        share,
    });
    let reply = CustomerReply {
        term: Term(1),
        version,
        is_settled: true,
        grants: grants.collect(),
    };
    state.apply((asked_at, request.header.sequence), &reply);
}

// Guards against: a customer without a limit waits for a leader.
#[tokio::test(start_paused = true)]
async fn admit_without_a_limit_needs_no_answer() {
    let state = CustomerState::new(&settings(None));
    assert_eq!(state.admit("ama", QuotaLimit::default()).await, Ok(None));
}

// Guards against: a request is held although no control instance can be reached.
#[tokio::test(start_paused = true)]
async fn admit_without_an_answer_is_refused_as_unknown_in_time() {
    let state = CustomerState::new(&settings(None));
    let started = Instant::now();
    let refusal = state.admit("ama", LIMIT).await.unwrap_err();
    assert!(matches!(
        refusal,
        QuotaRefusal::Unknown {
            share_age: None,
            ..
        }
    ));
    assert!(started.elapsed() <= Duration::from_millis(260));
}

// Guards against: requests that wait for a share are not woken by it, or more are admitted than it
// has room for.
#[tokio::test(start_paused = true)]
async fn admit_waits_for_the_share_and_refuses_beyond() {
    let state = Arc::new(CustomerState::new(&settings(None)));
    let admit = || {
        let state = state.clone();
        tokio::spawn(async move { state.admit("ama", LIMIT).await })
    };
    let waiting: Vec<_> = (0..4).map(|_| admit()).collect();
    tokio::time::sleep(Duration::from_millis(50)).await;
    answer(&state, Version(1), 3);
    let mut outcomes = Vec::new();
    for request in waiting {
        outcomes.push(request.await.unwrap());
    }
    assert_eq!(outcomes.iter().filter(|outcome| outcome.is_ok()).count(), 3);
    let refused = outcomes.into_iter().find_map(Result::err).unwrap();
    let QuotaRefusal::OverLimit { retry_after, .. } = refused else {
        panic!("{refused:?}");
    };
    assert!(retry_after > Duration::from_secs(4) && retry_after < Duration::from_secs(6));
}

// Guards against: keys are used without a proof where withdrawals have to hold, or proofs are asked
// for where they do not.
#[test]
fn check_lease_needs_a_proof_only_with_a_bound() {
    let lax = CustomerState::new(&settings(None));
    assert_eq!(lax.check_lease(Version(1)), Ok(()));
    let strict = CustomerState::new(&settings(Some(5_000)));
    assert!(strict.check_lease(Version(1)).is_err());
    answer(&strict, Version(1), 0);
    assert_eq!(strict.check_lease(Version(1)), Ok(()));
    answer(&strict, Version(2), 0);
    assert_eq!(strict.check_lease(Version(1)), Ok(()));
}
