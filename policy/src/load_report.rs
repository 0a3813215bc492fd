use serde::{Deserialize, Serialize};

use crate::UpstreamState;

/// Answer of an upstream's load endpoint. It may be late or wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run on the upstream, whoever sent them.
    pub in_flight: u32,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// What it says about itself.
    pub state: UpstreamState,
}
