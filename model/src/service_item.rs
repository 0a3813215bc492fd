use serde::{Deserialize, Serialize};

/// What instances need to know about the upstreams of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceItem {
    /// Path of the status check.
    pub health_path: String,
    /// Connections that one upstream accepts from all instances together.
    pub connections: u32,
    /// Time that an upstream stays cold after its start.
    pub warm_up_ms: u64,
    /// Requests that a cold upstream tolerates, in thousandths per second.
    pub warm_up_milli_per_s: u64,
}
