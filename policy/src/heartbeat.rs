use laburnumdeal_model::{BootId, Version};
use serde::{Deserialize, Serialize};

use crate::PeerState;

/// What an instance says about itself at short intervals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Run of the process that sends it.
    pub boot: BootId,
    /// Number of this heartbeat within the run, rising.
    pub sequence: u64,
    /// Whether the sender takes new work.
    pub state: PeerState,
    /// Version of the configuration in force at the sender.
    pub version: Version,
    /// Requests in flight at the sender.
    pub in_flight: u32,
}
