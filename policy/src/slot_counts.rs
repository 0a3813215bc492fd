use serde::{Deserialize, Serialize};

/// Slots and queue of one service on the upstreams that this instance owns.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotCounts {
    /// Slots that are free now.
    pub free: u32,
    /// Slots that are open, free or taken.
    pub total: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
}
