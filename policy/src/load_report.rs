use serde::{Deserialize, Serialize};

use crate::UpstreamState;

/// Answer of an upstream's load endpoint. It may be out of date or wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in flight on the upstream, from all senders.
    pub in_flight: u32,
    /// Requests that the upstream can run at the same time.
    pub slots: u32,
    /// State that the upstream reports about itself.
    pub state: UpstreamState,
}
