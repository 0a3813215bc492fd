use laburnumdeal_model::{BootId, Version};
use serde::{Deserialize, Serialize};

use crate::PeerState;

/// Report that an instance sends about itself at short intervals.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Run of the sending process.
    pub boot: BootId,
    /// Sequence number within the run, in ascending order.
    pub sequence: u64,
    /// Whether the sender accepts new requests.
    pub state: PeerState,
    /// Version of the configuration that the sender applies.
    pub version: Version,
    /// Requests in flight at the sender.
    pub in_flight: u32,
}
