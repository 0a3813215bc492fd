use std::time::Duration;

use laburnumdeal_model::Version;
use laburnumdeal_policy::customers::{BootTime, KeyLease, LeaseLost};

const BOUND: Duration = Duration::from_millis(4_000);

fn at(ms: u64) -> BootTime {
    BootTime::from(Duration::from_millis(ms))
}

fn lost(age_ms: u64) -> Result<(), LeaseLost> {
    let proof_age = Some(Duration::from_millis(age_ms));
    Err(LeaseLost { proof_age })
}

// Guards against: an instance that has just started uses keys of an old configuration.
#[test]
fn check_without_a_proof_is_refused() {
    let lease = KeyLease::new(BOUND);
    let never = Err(LeaseLost { proof_age: None });
    assert_eq!(lease.check(Version(9), at(0)), never);
}

// Guards against: a proof counts from its arrival, so that one held up on the way extends the lease.
#[test]
fn check_counts_from_the_time_of_asking() {
    let mut lease = KeyLease::new(BOUND);
    lease.record(at(1_000), Version(3));
    assert_eq!(lease.check(Version(3), at(4_999)), Ok(()));
    assert_eq!(lease.check(Version(3), at(5_000)), lost(4_000));
}

// Guards against: the leader has committed a withdrawal, and the instance goes on by the proof
// before it has received that.
#[test]
fn check_before_the_proven_version_arrives_uses_the_earlier_proof() {
    let mut lease = KeyLease::new(BOUND);
    lease.record(at(0), Version(3));
    lease.record(at(1_000), Version(4));
    lease.record(at(2_000), Version(6));
    assert_eq!(lease.check(Version(3), at(3_999)), Ok(()));
    assert_eq!(lease.check(Version(3), at(4_000)), lost(4_000));
    assert_eq!(lease.check(Version(5), at(4_500)), Ok(()));
    assert_eq!(lease.check(Version(5), at(5_000)), lost(4_000));
    assert_eq!(lease.check(Version(6), at(5_999)), Ok(()));
}

// Guards against: replies overtake each other, or come twice.
#[test]
fn record_in_any_order_gives_the_same_lease() {
    let proofs = [(0, 3), (500, 5), (1_000, 4), (1_500, 5)];
    let mut orders = vec![proofs.to_vec()];
    for shift in 1..4 {
        let mut order = proofs.to_vec();
        order.rotate_left(shift);
        order.push(proofs[0]);
        orders.push(order);
    }
    for order in orders {
        let mut lease = KeyLease::new(BOUND);
        for (asked_at, version) in &order {
            lease.record(at(*asked_at), Version(*version));
        }
        for (version, end) in [(3, 4_000), (4, 5_000), (5, 5_500)] {
            assert!(
                lease.check(Version(version), at(end - 1)).is_ok(),
                "{order:?}"
            );
            assert!(lease.check(Version(version), at(end)).is_err(), "{order:?}");
        }
    }
}

// Guards against: the machine is suspended; it wakes up with keys that were withdrawn meanwhile.
#[test]
fn check_after_a_suspension_is_refused() {
    let mut lease = KeyLease::new(BOUND);
    lease.record(at(1_000), Version(3));
    assert_eq!(lease.check(Version(3), at(60_000)), lost(59_000));
    lease.record(at(60_100), Version(4));
    assert_eq!(
        lease.check(Version(3), at(60_100)),
        Err(LeaseLost { proof_age: None })
    );
    assert_eq!(lease.check(Version(4), at(60_100)), Ok(()));
}

#[test]
fn proof_age_is_that_of_the_newest_proof_for_the_version() {
    let mut lease = KeyLease::new(BOUND);
    assert_eq!(lease.proof_age(Version(3), at(0)), None);
    lease.record(at(1_000), Version(3));
    lease.record(at(2_000), Version(4));
    let age = |version| lease.proof_age(Version(version), at(2_500));
    assert_eq!(age(2), None);
    assert_eq!(age(3), Some(Duration::from_millis(1_500)));
    assert_eq!(age(4), Some(Duration::from_millis(500)));
}
