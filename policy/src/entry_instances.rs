use std::net::IpAddr;

use laburnumdeal_model::{InstanceId, ServiceId, ZoneId};
use tokio::time::Instant;
use twox_hash::XxHash64;

use crate::{CallerHash, LookupTable, MemberState, Membership};

/// Most instances that one answer names.
pub const MAX_ENTRY_INSTANCES: usize = 8;

/// Returns the entry instances that a caller should use for a service, the preferred one first.
///
/// Zones come in the order of [`LookupTable::zones_by_preference`]; zones without the service and zones that
/// a drain has moved this caller away from come last. Drains move only callers with a steered
/// block: others have no home elsewhere, so their requests are passed on within the shift cap. Within a zone, live instances come before
/// suspect ones and callers are spread by a hash of their address. The answer is empty only when
/// this instance is leaving and knows no other.
pub fn entry_instances(
    table: &LookupTable,
    membership: &Membership,
    service: ServiceId,
    address: IpAddr,
    my_zone: ZoneId,
    now: Instant,
) -> Vec<InstanceId> {
    let slot = table
        .steered_zones(address)
        .map(|_| CallerHash::of(address));
    let mut entries = Vec::with_capacity(MAX_ENTRY_INSTANCES);
    let mut members = Vec::with_capacity(MAX_ENTRY_INSTANCES);
    for fit in Fit::ALL {
        for zone in table.zones_by_preference(address, my_zone) {
            if Fit::of(table, service, zone, slot) != fit {
                continue;
            }
            members.clear();
            membership.for_each_live_in(zone, now, |id, state| {
                members.push((state == MemberState::Suspect, spread(address, id), id));
            });
            members.sort_unstable();
            entries.extend(members.iter().map(|(_, _, id)| *id));
            if entries.len() >= MAX_ENTRY_INSTANCES {
                entries.truncate(MAX_ENTRY_INSTANCES);
                return entries;
            }
        }
    }
    entries
}

/// How well a zone fits a caller, best first.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fit {
    Runs,
    Moved,
    NotRunning,
    Drained,
}

impl Fit {
    const ALL: [Self; 4] = [Self::Runs, Self::Moved, Self::NotRunning, Self::Drained];

    fn of(table: &LookupTable, service: ServiceId, zone: ZoneId, slot: Option<CallerHash>) -> Self {
        let drains = table.drains();
        match slot {
            Some(_) if drains.is_fully_drained(zone) => Self::Drained,
            _ if !table.runs(service, zone) => Self::NotRunning,
            Some(slot) if drains.is_moved(zone, slot) => Self::Moved,
            _ => Self::Runs,
        }
    }
}

/// Rendezvous hash, so that one lost instance moves only its own callers.
fn spread(address: IpAddr, instance: InstanceId) -> u64 {
    match address.to_canonical() {
        IpAddr::V4(address) => XxHash64::oneshot(u64::from(instance.0), &address.octets()),
        IpAddr::V6(address) => XxHash64::oneshot(u64::from(instance.0), &address.octets()),
    }
}
