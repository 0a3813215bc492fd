use std::net::IpAddr;

use laburnumdeal_model::{InstanceId, ServiceId, ZoneId};
use tokio::time::Instant;
use twox_hash::XxHash64;

use crate::{CallerHash, LookupTable, MemberState, Membership};

/// Maximum number of instances in one lookup answer.
pub const MAX_ENTRY_INSTANCES: usize = 8;

/// Returns the entry instances that a caller should use for a service, in order of preference.
///
/// Zones are ordered by [`LookupTable::zones_by_preference`]. Zones that a drain has moved this
/// caller away from and zones without the service come last. Drains move only callers in a steering
/// block: other callers have no home zone elsewhere, so their requests are forwarded within the
/// shift cap. Within a zone, live instances come before suspect ones, and callers are spread over
/// the instances by a hash of their address. The list is empty only when this instance is leaving
/// and knows no other.
pub fn entry_instances(
    table: &LookupTable,
    membership: &Membership,
    service: ServiceId,
    address: IpAddr,
    my_zone: ZoneId,
    now: Instant,
) -> Vec<InstanceId> {
    let hash = table
        .steered_zones(address)
        .map(|_| CallerHash::of(address));
    let mut entries = Vec::with_capacity(MAX_ENTRY_INSTANCES);
    let mut members = Vec::with_capacity(MAX_ENTRY_INSTANCES);
    for suitability in Suitability::ALL {
        for zone in table.zones_by_preference(address, my_zone) {
            if Suitability::of(table, service, zone, hash) != suitability {
                continue;
            }
            members.clear();
            membership.for_each_live_in(zone, now, |id, state| {
                members.push((
                    state == MemberState::Suspect,
                    rendezvous_hash(address, id),
                    id,
                ));
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

/// How suitable a zone is for a caller, best first.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Suitability {
    /// Runs the service, and no drain has moved this caller away.
    Runs,
    /// Runs the service, but a drain has moved this caller away.
    Moved,
    /// Has no allowed upstream of the service.
    NotRunning,
    /// A drain has moved all callers in steering blocks away.
    Drained,
}

impl Suitability {
    const ALL: [Self; 4] = [Self::Runs, Self::Moved, Self::NotRunning, Self::Drained];

    fn of(table: &LookupTable, service: ServiceId, zone: ZoneId, hash: Option<CallerHash>) -> Self {
        let drains = table.drains();
        match hash {
            Some(_) if drains.is_fully_drained(zone) => Self::Drained,
            _ if !table.runs(service, zone) => Self::NotRunning,
            Some(hash) if drains.is_moved(zone, hash) => Self::Moved,
            _ => Self::Runs,
        }
    }
}

/// Rendezvous hash of a caller and an instance. The loss of an instance moves only the callers of
/// that instance.
fn rendezvous_hash(address: IpAddr, instance: InstanceId) -> u64 {
    match address.to_canonical() {
        IpAddr::V4(address) => XxHash64::oneshot(u64::from(instance.0), &address.octets()),
        IpAddr::V6(address) => XxHash64::oneshot(u64::from(instance.0), &address.octets()),
    }
}
