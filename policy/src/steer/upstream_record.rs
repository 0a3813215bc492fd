use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One upstream as the list of upstreams describes it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Identity of one start of the upstream; a restart gets a new one.
    pub id: String,
    /// Service that it serves.
    pub service: String,
    /// Address that it listens on; another upstream may reuse it later.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: String,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is draining and accepts no new requests.
    pub leaving: bool,
    /// Time until it has warmed up, in milliseconds; 0 if it is warm.
    pub cold_ms: u64,
}
