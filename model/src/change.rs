use derive_more::Display;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use crate::{NamedItem, Target, Version};

/// One change of the configuration. Names refer to the topology, so that a record
/// keeps its meaning when arenas are ordered differently.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Restricts a service to the named upstreams.
    #[display("allow {service} upstreams {}", upstreams.join(", "))]
    Allow {
        /// Service that is restricted.
        service: String,
        /// Every upstream that it may use.
        upstreams: Vec<String>,
    },
    /// Moves work away from a target, step by step, within a period.
    #[display(
        "drain {target} at {at_ms} for {for_ms}ms by {step_permille}/1000 every {every_ms}ms"
    )]
    Drain {
        /// What is emptied.
        target: Target,
        /// Start, in milliseconds since the Unix epoch.
        at_ms: u64,
        /// Length of the period; 0 lasts until it is ended.
        for_ms: u64,
        /// Thousandths of the target's traffic that move in one step.
        step_permille: u16,
        /// Time between two steps.
        every_ms: u64,
    },
    /// Ends a drain.
    #[display("undrain {target}")]
    Undrain {
        /// What takes work again.
        target: Target,
    },
    /// Advances a drain by one step; written by the leader alone.
    #[display("step {target} to {moved_permille}/1000")]
    DrainStep {
        /// What is emptied.
        target: Target,
        /// Thousandths of the target's traffic that have moved after this step.
        moved_permille: u16,
    },
    /// Caps the requests of a service that may be served away from their own availability zone.
    #[display("cap shift {service} at {requests_per_s}/s")]
    CapShift {
        /// Service whose traffic shifts.
        service: String,
        /// Cap over the whole system.
        requests_per_s: u64,
    },
    /// Caps the requests that a region takes in.
    #[display("cap region {region} at {requests_per_s}/s")]
    CapRegion {
        /// Region that is protected.
        region: String,
        /// Cap over the whole region.
        requests_per_s: u64,
    },
    /// Caps the bytes sent over a link between two regions, one way.
    #[display("cap link {from} to {to} at {bytes_per_s}B/s")]
    CapLink {
        /// Region that sends.
        from: String,
        /// Region that receives.
        to: String,
        /// Cap over the whole link.
        bytes_per_s: u64,
    },
    /// Steers blocks of callers to availability zones, the preferred one first.
    #[display("steer {} to {}", join(blocks), zones.join(", "))]
    Steer {
        /// Blocks of caller addresses.
        blocks: Vec<IpNet>,
        /// Availability zones in order of preference.
        zones: Vec<String>,
    },
    /// Removes the steering of a block.
    #[display("unsteer {block}")]
    Unsteer {
        /// Block of caller addresses.
        block: IpNet,
    },
    /// Sets or removes items that carry versions of their own, all or none.
    #[display("set {}", names(items))]
    Items {
        /// Items with their versions.
        items: Vec<NamedItem>,
    },
    /// Restores the contents of an earlier version as a new version.
    #[display("revert to {to}")]
    Revert {
        /// Version whose contents come back.
        to: Version,
    },
}

impl Change {
    /// Drops the texts of items as their senders wrote them, for receivers that never give them
    /// back.
    pub fn clear_originals(&mut self) {
        if let Self::Items { items } = self {
            for named in items {
                named.item.original.clear();
            }
        }
    }
}

fn names(items: &[NamedItem]) -> String {
    let texts: Vec<String> = items.iter().map(|named| named.key.to_string()).collect();
    texts.join(", ")
}

fn join(blocks: &[IpNet]) -> String {
    let texts: Vec<String> = blocks.iter().map(IpNet::to_string).collect();
    texts.join(", ")
}
