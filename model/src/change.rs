use derive_more::Display;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use crate::{NamedItem, Target, Version};

/// A change of the configuration. It refers to the topology by name instead of by key, so that a
/// stored change keeps its meaning when the entries of the topology are reordered.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Restricts a service to the named upstreams.
    #[display("allow {service} upstreams {}", upstreams.join(", "))]
    Allow {
        /// Service that is restricted.
        service: String,
        /// All upstreams that the service may use.
        upstreams: Vec<String>,
    },
    /// Moves traffic away from a target in steps, for a period.
    #[display(
        "drain {target} at {at_ms} for {for_ms}ms by {step_permille}/1000 every {every_ms}ms"
    )]
    Drain {
        /// Target of the drain.
        target: Target,
        /// Start, in milliseconds since the Unix epoch.
        at_ms: u64,
        /// Length of the period; with 0 the drain lasts until it is ended.
        for_ms: u64,
        /// Thousandths of the target's traffic that move in one step.
        step_permille: u16,
        /// Time between two steps.
        every_ms: u64,
    },
    /// Ends a drain.
    #[display("undrain {target}")]
    Undrain {
        /// Target that takes traffic again.
        target: Target,
    },
    /// Advances a drain by one step. Only the leader makes this change.
    #[display("step {target} to {moved_permille}/1000")]
    DrainStep {
        /// Target of the drain.
        target: Target,
        /// Thousandths of the target's traffic that have moved after this step.
        moved_permille: u16,
    },
    /// Caps the requests of a service that are served outside their own availability zone.
    #[display("cap shift {service} at {requests_per_s}/s")]
    CapShift {
        /// Service whose requests are capped.
        service: String,
        /// Cap for the whole system.
        requests_per_s: u64,
    },
    /// Caps the requests that a region takes in.
    #[display("cap region {region} at {requests_per_s}/s")]
    CapRegion {
        /// Region whose intake is capped.
        region: String,
        /// Cap for the whole region.
        requests_per_s: u64,
    },
    /// Caps the bytes sent over a one-way link between two regions.
    #[display("cap link {from} to {to} at {bytes_per_s}B/s")]
    CapLink {
        /// Region that sends over the link.
        from: String,
        /// Region that receives over the link.
        to: String,
        /// Cap for the whole link.
        bytes_per_s: u64,
    },
    /// Steers callers to availability zones by their address.
    #[display("steer {} to {}", join_blocks(blocks), zones.join(", "))]
    Steer {
        /// CIDR blocks of caller addresses.
        blocks: Vec<IpNet>,
        /// Availability zones, the preferred one first.
        zones: Vec<String>,
    },
    /// Removes the steering of a CIDR block.
    #[display("unsteer {block}")]
    Unsteer {
        /// CIDR block of caller addresses.
        block: IpNet,
    },
    /// Sets or removes items, which have versions of their own. All of them are accepted or none.
    #[display("set {}", item_keys(items))]
    Items {
        /// Items with their keys and versions.
        items: Vec<NamedItem>,
    },
    /// Restores the contents of an earlier version as a new version.
    #[display("revert to {to}")]
    Revert {
        /// Version whose contents are restored.
        to: Version,
    },
}

impl Change {
    /// Clears [`Item::original`](crate::Item::original) of all items, for receivers that never
    /// return it.
    pub fn clear_originals(&mut self) {
        if let Self::Items { items } = self {
            for named in items {
                named.item.original.clear();
            }
        }
    }
}

fn item_keys(items: &[NamedItem]) -> String {
    let texts: Vec<String> = items.iter().map(|named| named.key.to_string()).collect();
    texts.join(", ")
}

fn join_blocks(blocks: &[IpNet]) -> String {
    let texts: Vec<String> = blocks.iter().map(IpNet::to_string).collect();
    texts.join(", ")
}
