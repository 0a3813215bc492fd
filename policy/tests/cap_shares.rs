//! Shares of caps: their limits, refunds, loans and restarts.

mod support;

use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::{
    BootId, Change, Configuration, InstanceId, RegionId, ServiceId, Topology, Version,
};
use laburnumdeal_policy::{CapKey, CapShares, Caps, Grant, ShareSettings};
use support::{Shape, configured, topology};
use tokio::time::Instant;

const KEY: CapKey = CapKey::Shift(ServiceId(0));

const SHAPE: Shape = Shape {
    regions: 2,
    zones: 1,
    instances: 1,
    upstreams: 1,
};

/// Two instances that share a cap, after the time in which a restart reserves their shares.
struct Pair {
    topology: Arc<Topology>,
    lender: CapShares,
    borrower: CapShares,
    now: Instant,
}

fn cap(topology: &Topology, requests_per_s: u64, version: u64) -> Configuration {
    let service = "s0".into();
    let change = Change::CapShift {
        service,
        requests_per_s,
    };
    Configuration {
        version: Version(version),
        ..configured(topology, &[change])
    }
}

fn pair(requests_per_s: u64) -> Pair {
    let topology = topology(SHAPE, 1_000);
    let started = Instant::now();
    let shares_of = |id| {
        let settings = ShareSettings::default();
        let shares = CapShares::new(
            InstanceId(id),
            BootId(1),
            topology.clone(),
            settings,
            started,
        );
        shares.configure(&cap(&topology, requests_per_s, 1));
        shares
    };
    Pair {
        lender: shares_of(0),
        borrower: shares_of(1),
        now: started + Duration::from_secs(10),
        topology,
    }
}

fn after(now: Instant, ms: u64) -> Instant {
    now + Duration::from_millis(ms)
}

/// Spends one request per millisecond and returns how many were admitted.
fn spend_all(shares: &CapShares, from: Instant, for_ms: u64) -> u64 {
    let tries = (0..for_ms).filter(|ms| shares.spend(KEY, 1, after(from, *ms)).is_ok());
    tries.count() as u64
}

fn loan(pair: &Pair, amount: u64) -> Grant {
    pair.lender
        .lend(KEY, InstanceId(1), amount, pair.now)
        .unwrap()
}

#[test]
fn share_per_s_of_all_instances_sums_to_cap() {
    let shape = Shape {
        regions: 3,
        zones: 2,
        instances: 2,
        ..SHAPE
    };
    let topology = topology(shape, 997);
    for requests_per_s in [0, 1, 5, 11, 12, 13, 50, 1_000_003] {
        let configuration = cap(&topology, requests_per_s, 1);
        let caps = Caps::new(&configuration, &topology);
        let sum = |key| {
            topology
                .instance_ids()
                .map(|id| caps.share_per_s(key, id))
                .sum::<u64>()
        };
        assert_eq!(sum(KEY), requests_per_s);
        assert_eq!(sum(CapKey::Region(RegionId(2))), 997);
    }
}

#[test]
fn spend_before_configure_is_refused() {
    let topology = topology(SHAPE, 1_000);
    let now = Instant::now();
    let settings = ShareSettings::default();
    let shares = CapShares::new(InstanceId(0), BootId(1), topology, settings, now);
    assert!(shares.spend(KEY, 1, after(now, 60_000)).is_err());
}

#[test]
fn spend_steady_uses_nearly_whole_share() {
    let pair = pair(200);
    let spent = spend_all(&pair.lender, pair.now, 10_000);
    assert!((970..=1_025).contains(&spent), "{spent} of 1000");
}

#[test]
fn spend_burst_is_bounded() {
    let pair = pair(200);
    let spent = (0..100).filter(|_| pair.lender.spend(KEY, 1, pair.now).is_ok());
    assert_eq!(spent.count(), 25);
}

#[test]
fn spend_after_retry_after_fits() {
    let pair = pair(7);
    let mut now = pair.now;
    for _ in 0..50 {
        if let Err(error) = pair.lender.spend(KEY, 1, now) {
            now = after(now, error.retry_after_ms);
            assert!(pair.lender.spend(KEY, 1, now).is_ok());
        }
    }
}

#[test]
fn spend_larger_than_burst_returns_max_amount() {
    let pair = pair(200);
    let error = pair.lender.spend(KEY, 26, pair.now).unwrap_err();
    assert_eq!(error.max_amount, 25);
    assert!(pair.lender.spend(KEY, error.max_amount, pair.now).is_ok());
}

#[test]
fn spend_part_splits_amount_larger_than_burst() {
    let pair = pair(200_000);
    let mut remaining: u64 = 250_000;
    let mut now = pair.now;
    while remaining > 0 {
        match pair.lender.spend_part(KEY, remaining, now) {
            Ok(part) => remaining -= part,
            Err(error) => now = after(now, error.retry_after_ms),
        }
    }
    let taken_ms = now.duration_since(pair.now).as_millis();
    assert!(
        (1_500..=2_600).contains(&taken_ms),
        "{taken_ms} ms for 2.5 shares"
    );
}

#[test]
fn spend_part_of_small_share_makes_progress() {
    let pair = pair(2);
    assert_eq!(pair.lender.spend_part(KEY, 9, pair.now), Ok(1));
    let error = pair.lender.spend_part(KEY, 8, pair.now).unwrap_err();
    let later = after(pair.now, error.retry_after_ms);
    assert_eq!(pair.lender.spend_part(KEY, 8, later), Ok(1));
}

#[test]
fn refund_allows_same_amount_again() {
    let pair = pair(200);
    spend_all(&pair.lender, pair.now, 1_000);
    let now = after(pair.now, 999);
    assert!(pair.lender.spend(KEY, 1, now).is_err());
    pair.lender.refund(KEY, 1, after(pair.now, 500));
    assert!(pair.lender.spend(KEY, 1, now).is_ok());
    assert!(pair.lender.spend(KEY, 1, now).is_err());
}

#[test]
fn refund_outside_window_has_no_effect() {
    let pair = pair(4);
    let now = after(pair.now, 5_000);
    assert_eq!(
        (0..5)
            .filter(|_| pair.lender.spend(KEY, 1, now).is_ok())
            .count(),
        2
    );
    pair.lender.refund(KEY, 1, pair.now);
    assert!(pair.lender.spend(KEY, 1, now).is_err());
}

#[test]
fn spend_cap_of_other_region_is_refused() {
    let pair = pair(200);
    assert!(
        pair.lender
            .spend(CapKey::Region(RegionId(1)), 1, pair.now)
            .is_err()
    );
    assert!(
        pair.lender
            .spend(CapKey::Region(RegionId(0)), 1, pair.now)
            .is_ok()
    );
}

#[test]
fn spend_without_cap_is_admitted() {
    let pair = pair(200);
    let key = CapKey::Link(RegionId(0), RegionId(1));
    assert!(
        pair.lender
            .spend(key, u64::from(u32::MAX), pair.now)
            .is_ok()
    );
}

#[test]
fn configure_lower_cap_applies_immediately() {
    let pair = pair(200);
    assert_eq!(spend_all(&pair.lender, pair.now, 400), 64);
    pair.lender.configure(&cap(&pair.topology, 20, 2));
    assert_eq!(spend_all(&pair.lender, after(pair.now, 400), 500), 0);
}

#[test]
fn configure_older_version_is_ignored() {
    let pair = pair(200);
    assert!(pair.lender.configure(&cap(&pair.topology, 20, 3)));
    assert!(!pair.lender.configure(&cap(&pair.topology, 200, 2)));
    assert_eq!(pair.lender.limit_per_s(KEY, pair.now), Some(10));
}

#[test]
fn lend_of_idle_lender_moves_part() {
    let pair = pair(200);
    let grant = loan(&pair, 40);
    assert!(pair.borrower.accept_grant(&grant, pair.now, pair.now));
    assert_eq!(pair.lender.limit_per_s(KEY, pair.now), Some(60));
    assert_eq!(pair.borrower.limit_per_s(KEY, pair.now), Some(140));
}

#[test]
fn lend_never_more_than_four_fifths() {
    let pair = pair(200);
    let grants: Vec<u64> = (0..10).map(|_| loan(&pair, 30).amount_per_s).collect();
    assert_eq!(grants[..4], [30, 60, 80, 80]);
    assert_eq!(pair.lender.limit_per_s(KEY, pair.now), Some(20));
}

#[test]
fn lend_of_busy_lender_is_refused() {
    let pair = pair(200);
    spend_all(&pair.lender, pair.now, 1_000);
    let now = after(pair.now, 1_000);
    assert!(pair.lender.demand(KEY, now) > 0);
    assert_eq!(pair.lender.lend(KEY, InstanceId(1), 10, now), None);
}

#[test]
fn lend_ends_at_borrower_before_lender() {
    let pair = pair(200);
    let grant = loan(&pair, 40);
    pair.borrower.accept_grant(&grant, pair.now, pair.now);
    let ended = after(pair.now, grant.expires_after_ms);
    assert_eq!(pair.borrower.limit_per_s(KEY, ended), Some(100));
    assert_eq!(pair.lender.limit_per_s(KEY, after(ended, 1_000)), Some(60));
    assert_eq!(pair.lender.limit_per_s(KEY, after(ended, 1_200)), Some(100));
}

#[test]
fn accept_grant_duplicate_counts_once() {
    let pair = pair(200);
    let grant = loan(&pair, 40);
    assert!(pair.borrower.accept_grant(&grant, pair.now, pair.now));
    assert!(!pair.borrower.accept_grant(&grant, pair.now, pair.now));
    assert!(pair.borrower.return_grant(&grant, pair.now).is_some());
    assert!(!pair.borrower.accept_grant(&grant, pair.now, pair.now));
    assert_eq!(pair.borrower.limit_per_s(KEY, pair.now), Some(100));
}

#[test]
fn accept_grant_late_is_refused() {
    let pair = pair(200);
    let grant = loan(&pair, 40);
    let late = after(pair.now, grant.expires_after_ms);
    assert!(!pair.borrower.accept_grant(&grant, pair.now, late));
}

#[test]
fn accept_grant_under_other_cap_is_refused() {
    let pair = pair(200);
    let grant = loan(&pair, 40);
    pair.borrower.configure(&cap(&pair.topology, 100, 2));
    assert!(!pair.borrower.accept_grant(&grant, pair.now, pair.now));
}

#[test]
fn configure_other_cap_ends_loan() {
    let pair = pair(200);
    let grant = loan(&pair, 40);
    pair.borrower.accept_grant(&grant, pair.now, pair.now);
    pair.borrower.configure(&cap(&pair.topology, 100, 2));
    assert_eq!(pair.borrower.limit_per_s(KEY, pair.now), Some(50));
}

#[test]
fn lend_renewal_leaves_no_gap() {
    let pair = pair(200);
    for step in 0..50 {
        let now = after(pair.now, step * 1_000);
        let grant = pair.lender.lend(KEY, InstanceId(1), 40, now).unwrap();
        assert!(pair.borrower.accept_grant(&grant, now, now));
        let limits = [&pair.lender, &pair.borrower].map(|b| b.limit_per_s(KEY, now).unwrap());
        assert_eq!(limits[0] + limits[1], 200);
        assert!(limits[1] >= 140);
    }
}

#[test]
fn accept_grant_older_than_renewal_is_ignored() {
    let pair = pair(200);
    let first = loan(&pair, 10);
    let renewed = loan(&pair, 10);
    assert!(pair.borrower.accept_grant(&renewed, pair.now, pair.now));
    assert!(!pair.borrower.accept_grant(&first, pair.now, pair.now));
    assert_eq!(pair.borrower.limit_per_s(KEY, pair.now), Some(120));
}

#[test]
fn accept_grant_after_return_keeps_its_own_expiry() {
    let pair = pair(200);
    let first = loan(&pair, 10);
    pair.borrower.accept_grant(&first, pair.now, pair.now);
    let second = loan(&pair, 10);
    let later = after(pair.now, 1_900);
    assert!(pair.borrower.return_grant(&first, later).is_some());
    assert!(pair.borrower.accept_grant(&second, pair.now, later));
    let ended = after(pair.now, second.expires_after_ms);
    assert_eq!(pair.borrower.limit_per_s(KEY, ended), Some(100));
}

#[test]
fn reclaim_after_renewal_is_ignored() {
    let pair = pair(200);
    let grant = loan(&pair, 40);
    pair.borrower.accept_grant(&grant, pair.now, pair.now);
    let message = pair.borrower.return_grant(&grant, pair.now).unwrap();
    let renewed = loan(&pair, 1);
    assert!(pair.borrower.accept_grant(&renewed, pair.now, pair.now));
    pair.lender.reclaim(&message, pair.now);
    assert_eq!(
        pair.lender.limit_per_s(KEY, after(pair.now, 1_500)),
        Some(59)
    );
}

#[test]
fn lend_one_busy_instance_gets_most_of_cap() {
    let shape = Shape {
        regions: 3,
        zones: 1,
        instances: 3,
        ..SHAPE
    };
    let topology = topology(shape, 1_000);
    let started = Instant::now();
    let shares_of = |id| {
        let settings = ShareSettings::default();
        let shares = CapShares::new(id, BootId(1), topology.clone(), settings, started);
        shares.configure(&cap(&topology, 200, 1));
        shares
    };
    let all_shares: Vec<CapShares> = topology.instance_ids().map(shares_of).collect();
    let mut spent = 0;
    for ms in 10_000..20_000_u64 {
        let now = after(started, ms);
        spent += u64::from(all_shares[0].spend(KEY, 1, now).is_ok());
        let demand = all_shares[0].demand(KEY, now);
        if ms % 100 == 0 && demand > 0 {
            let lender = &all_shares[1 + (ms / 100 % 8) as usize];
            let grant = lender.lend(KEY, InstanceId(0), demand, now);
            grant.map(|grant| all_shares[0].accept_grant(&grant, now, now));
        }
    }
    assert!((1_500..=2_000).contains(&spent), "{spent} of 2000");
}

#[test]
fn reclaim_takes_effect_after_last_second() {
    let pair = pair(200);
    let grant = loan(&pair, 40);
    pair.borrower.accept_grant(&grant, pair.now, pair.now);
    let message = pair.borrower.return_grant(&grant, pair.now).unwrap();
    pair.lender.reclaim(&message, pair.now);
    assert_eq!(
        pair.lender.limit_per_s(KEY, after(pair.now, 1_000)),
        Some(60)
    );
    assert_eq!(
        pair.lender.limit_per_s(KEY, after(pair.now, 1_100)),
        Some(100)
    );
}

#[test]
fn restart_reserves_share_until_longest_grant_expires() {
    let topology = topology(SHAPE, 1_000);
    let started = Instant::now();
    let settings = ShareSettings::default();
    let shares = CapShares::new(
        InstanceId(0),
        BootId(2),
        topology.clone(),
        settings,
        started,
    );
    shares.configure(&cap(&topology, 200, 1));
    let limit = |ms| shares.limit_per_s(KEY, after(started, ms));
    assert_eq!(limit(1_000), Some(0));
    assert_eq!(limit(1_100), Some(20));
    assert_eq!(limit(4_000), Some(20));
    assert_eq!(limit(4_200), Some(100));
    assert_eq!(
        shares.lend(KEY, InstanceId(1), 9, after(started, 4_000)),
        None
    );
}
