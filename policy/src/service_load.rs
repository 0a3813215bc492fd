use laburnumdeal_model::ServiceId;
use serde::{Deserialize, Serialize};

/// Slots and requests of one service, summed over the upstreams that the reporting instances own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Service that the counts belong to.
    pub service: ServiceId,
    /// Slots of the upstreams that accept new requests.
    pub slots: u32,
    /// Slots in use.
    pub in_flight: u32,
    /// Requests waiting for a slot.
    pub queued: u32,
}

impl ServiceLoad {
    /// Returns the slots that are left after running and waiting requests.
    pub fn free(&self) -> u32 {
        self.slots
            .saturating_sub(self.in_flight)
            .saturating_sub(self.queued)
    }
}
