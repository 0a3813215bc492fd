use std::net::SocketAddr;

use crate::{ServiceId, ZoneId};

/// An upstream of a service and its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name, unique among upstreams.
    pub name: String,
    /// Service that the upstream runs.
    pub service: ServiceId,
    /// Availability zone that the upstream runs in.
    pub zone: ZoneId,
    /// Address for requests, health checks and load reports.
    pub address: SocketAddr,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u16,
    /// Maximum number of connections that the upstream accepts at the same time.
    pub connections: u16,
}
