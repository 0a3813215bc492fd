use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One upstream as the list of upstreams describes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Identity of this start of the upstream.
    pub id: String,
    /// Service that it serves.
    pub service: String,
    /// Address that it listens on; another upstream may take it over later.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it processes at a time.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Time for which it stays cold.
    pub cold_ms: u64,
}
