//! Entry instances as a control instance hears them.

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

/// A control instance that just started has heard one of nine: each of them would take the shares
/// of all.
#[test]
fn roster_right_after_the_start_is_not_told() {
    let start = Instant::now();
    let registry = Registry::new(start);
    registry.record(presence("e-1", PresenceState::Ready, 1), start);
    assert_eq!(registry.roster(start + Duration::from_millis(500)), None);
    let later = start + Duration::from_secs(2);
    registry.record(presence("e-2", PresenceState::Ready, 1), later);
    let (_, names) = registry.roster(later).expect("all had time to be heard");
    assert_eq!(names, ["e-1", "e-2"]);
}

/// An instance that is cut off from a control instance goes on sending with its shares.
#[test]
fn roster_counts_an_instance_through_a_cut() {
    let start = Instant::now();
    let registry = Registry::new(start);
    registry.record(presence("e-1", PresenceState::Ready, 1), start);
    let counted = |seconds| {
        let roster = registry.roster(start + Duration::from_secs(seconds));
        roster.expect("the start is over").1.len()
    };
    assert_eq!(counted(15), 1);
    assert_eq!(counted(31), 0);
}

#[test]
fn name_an_instance_that_fell_silent_is_left_out() {
    let start = Instant::now();
    let registry = Registry::new(start);
    let heard_at = start + Duration::from_secs(2);
    registry.record(presence("e-1", PresenceState::Ready, 1), heard_at);
    assert_eq!(registry.resolve("cairo", "nasr", heard_at).len(), 1);
    let later = heard_at + Duration::from_secs(2);
    assert!(registry.resolve("cairo", "nasr", later).is_empty());
}
