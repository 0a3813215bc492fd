//! The registry of entry instances on a control instance.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use laburnumdeal_daemon::roles::{Announcement, Presence, PresenceState, Registry};
use tokio::time::Instant;

const CALLER: IpAddr = IpAddr::V4(std::net::Ipv4Addr::new(100, 64, 0, 1));

fn presence(name: &str, state: PresenceState, sequence: u64) -> Announcement {
    let presence = Presence {
        instance: name.to_owned(),
        caller_address: ([10, 0, 0, 1], 8_548).into(),
        zone: "nasr".to_owned(),
        region: "cairo".to_owned(),
        state,
        boot_ms: 1,
        sequence,
    };
    Announcement {
        presence,
        link_use_percent: None,
    }
}

/// Announces four instances in each of two regions twice a second until `seconds` have passed.
fn announce(registry: &Registry, start: Instant, seconds: u32, uses: [Option<u32>; 2]) -> Instant {
    let mut now = start;
    for sequence in 0..seconds * 2 {
        now = start + Duration::from_millis(500) * sequence;
        for (region, link_use_percent) in uses.into_iter().enumerate() {
            for index in 0..4_u8 {
                let mut own = presence("", PresenceState::Ready, u64::from(sequence));
                own.presence.instance = format!("e-{region}-{index}");
                own.presence.region = ["cairo", "delta"][region].to_owned();
                own.presence.caller_address = ([10, region as u8, 0, index], 8_548).into();
                own.link_use_percent = link_use_percent;
                registry.record(own, now);
            }
        }
        registry.resolve("cairo", "nasr", CALLER, now);
    }
    now
}

/// Returns how many of the addresses are in the second region.
fn away(addresses: &[SocketAddr]) -> usize {
    let is_away = |address: &&SocketAddr| address.to_string().starts_with("10.1.");
    addresses.iter().filter(is_away).count()
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
    assert_eq!(
        registry.resolve("cairo", "nasr", CALLER, received_at).len(),
        1
    );
    let later = received_at + Duration::from_secs(2);
    assert!(registry.resolve("cairo", "nasr", CALLER, later).is_empty());
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

/// The callers of one region are many while those of another are few: links of 4 Mbit/s are full on
/// one side and idle on the other.
#[test]
fn resolve_region_with_busy_links_names_instances_of_another() {
    let start = Instant::now();
    let registry = Registry::new(start).with_max_region_shift(0.15);
    let now = announce(&registry, start, 30, [Some(90), Some(10)]);
    let callers = (0..100_u8).map(|caller| IpAddr::from([100, 64, 0, caller]));
    let answers = callers.map(|caller| registry.resolve("cairo", "nasr", caller, now));
    let (mut all, mut others) = (0, 0);
    for addresses in answers {
        all += addresses.len();
        others += away(&addresses);
    }
    let part = others as f64 / all as f64;
    assert!((0.3..0.65).contains(&part), "{part} of the addresses");
    assert_eq!(away(&registry.resolve("delta", "", CALLER, now)), 4);
}

#[test]
fn resolve_without_known_links_stays_in_the_region() {
    let start = Instant::now();
    let registry = Registry::new(start).with_max_region_shift(0.15);
    let now = announce(&registry, start, 30, [Some(90), None]);
    assert_eq!(away(&registry.resolve("cairo", "nasr", CALLER, now)), 0);
}
