use std::net::IpAddr;

use laburnumdeal_model::{InstanceId, ServiceId, ZoneId};
use tokio::time::Instant;
use twox_hash::XxHash64;

use crate::{CallerSlot, LookupTable, MemberState, Membership};

/// Most instances that one answer names.
pub const MAX_ENTRY_INSTANCES: usize = 8;

/// Returns the entry instances that a caller should use for a service, the preferred one first.
///
/// Zones come in the order of [`LookupTable::preference`]; zones without the service and zones that
/// a drain has moved this caller away from come last. Within a zone, live instances come before
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
    let slot = CallerSlot::of(address);
    let mut zones = table.preference(address, my_zone);
    zones.sort_by_key(|zone| {
        (
            table.drains().is_empty_zone(*zone),
            !table.runs(service, *zone),
            table.drains().is_moved(*zone, slot),
        )
    });
    let mut entries = Vec::with_capacity(MAX_ENTRY_INSTANCES);
    for zone in zones {
        add_zone(&mut entries, membership, zone, address, now);
        if entries.len() >= MAX_ENTRY_INSTANCES {
            break;
        }
    }
    entries.truncate(MAX_ENTRY_INSTANCES);
    entries
}

fn add_zone(
    entries: &mut Vec<InstanceId>,
    membership: &Membership,
    zone: ZoneId,
    address: IpAddr,
    now: Instant,
) {
    let start = entries.len();
    entries.extend(membership.live_in(zone, now));
    entries[start..].sort_by_cached_key(|instance| {
        let is_suspect = membership.state(*instance, now) == MemberState::Suspect;
        (is_suspect, spread(address, *instance))
    });
}

/// Rendezvous hash, so that one lost instance moves only its own callers.
fn spread(address: IpAddr, instance: InstanceId) -> u64 {
    match address.to_canonical() {
        IpAddr::V4(address) => XxHash64::oneshot(u64::from(instance.0), &address.octets()),
        IpAddr::V6(address) => XxHash64::oneshot(u64::from(instance.0), &address.octets()),
    }
}
