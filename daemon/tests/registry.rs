//! The registry of entry instances on a control instance.

use std::time::Duration;

use laburnumdeal_daemon::roles::{Presence, PresenceState, Registry};
use tokio::time::Instant;

fn presence(name: &str, state: PresenceState, sequence: u64) -> Presence {
    Presence {
        instance: name.to_owned(),
        caller_address: ([10, 0, 0, 1], 8_548).into(),
        zone: "nasr".to_owned(),
        region: "cairo".to_owned(),
        state,
        boot_ms: 1,
        sequence,
    }
}

/// A control instance that just started may have received presence from only one of nine entry
/// instances. With a roster of one, each of them would use the shares of all.
#[test]
fn roster_is_unknown_right_after_the_start() {
    let start = Instant::now();
    let registry = Registry::new(start);
    registry.record(presence("e-1", PresenceState::Ready, 1), start);
    assert_eq!(registry.roster(start + Duration::from_millis(500)), None);
    let later = start + Duration::from_secs(2);
    registry.record(presence("e-2", PresenceState::Ready, 1), later);
    let (_, instances) = registry.roster(later).expect("the warm-up is over");
    let names: Vec<&str> = instances.iter().map(|known| known.name.as_str()).collect();
    assert_eq!(names, ["e-1", "e-2"]);
    assert!(instances.iter().all(|known| known.region == "cairo"));
}

/// An entry instance that is partitioned from a control instance keeps sending requests with its
/// share, so it must stay in the roster for a while.
#[test]
fn roster_keeps_an_instance_during_a_partition() {
    let start = Instant::now();
    let registry = Registry::new(start);
    registry.record(presence("e-1", PresenceState::Ready, 1), start);
    let counted = |seconds| {
        let roster = registry.roster(start + Duration::from_secs(seconds));
        roster.expect("the warm-up is over").1.len()
    };
    assert_eq!(counted(15), 1);
    assert_eq!(counted(31), 0);
}

#[test]
fn resolve_leaves_out_an_instance_without_recent_presence() {
    let start = Instant::now();
    let registry = Registry::new(start);
    let received_at = start + Duration::from_secs(2);
    registry.record(presence("e-1", PresenceState::Ready, 1), received_at);
    assert_eq!(registry.resolve("cairo", "nasr", received_at).len(), 1);
    let later = received_at + Duration::from_secs(2);
    assert!(registry.resolve("cairo", "nasr", later).is_empty());
}

/// An entry instance that holds a share of a quota has announced itself within the time that the share
/// counts. One that has been silent for longer must not keep a new leader from dividing quotas.
#[test]
fn known_names_are_those_heard_within_the_time() {
    let start = Instant::now();
    let registry = Registry::new(start);
    let within = Duration::from_secs(9);
    registry.record(presence("e-1", PresenceState::Ready, 1), start);
    assert_eq!(registry.known_names(within, start), None);
    let later = start + Duration::from_secs(8);
    registry.record(presence("e-2", PresenceState::Starting, 1), later);
    let names = registry.known_names(within, later).unwrap();
    assert_eq!(names, ["e-1", "e-2"]);
    let names = registry.known_names(within, start + within).unwrap();
    assert_eq!(names, ["e-2"]);
}
