use serde::{Deserialize, Serialize};

/// SlotCounts that the upstreams of one service have here.
#[derive(Clone, Copy, Default, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotCounts {
    /// Slots that a request could take now.
    pub free: u32,
    /// Slots that may be used at the same time.
    pub total: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
}
