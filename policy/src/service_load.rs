use laburnumdeal_model::ServiceId;
use serde::{Deserialize, Serialize};

/// Slots of one service, summed over the upstreams that the reporting instances own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// Service.
    pub service: ServiceId,
    /// Slots of upstreams that take new work.
    pub slots: u32,
    /// Slots in use.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
}

impl ServiceLoad {
    /// Returns the slots that neither running nor waiting requests take.
    pub fn free(&self) -> u32 {
        self.slots
            .saturating_sub(self.in_flight)
            .saturating_sub(self.queued)
    }
}
