use serde::{Deserialize, Serialize};

/// Properties that all upstreams of a service have in common.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceItem {
    /// Path of the health check.
    pub health_path: String,
    /// Maximum number of connections that one upstream accepts from all instances together.
    pub connections: u32,
    /// Time for which an upstream is cold after its start.
    pub warm_up_ms: u64,
    /// Maximum rate of requests to a cold upstream, in thousandths of a request per second.
    pub warm_up_milli_per_s: u64,
}
