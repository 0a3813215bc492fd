use std::net::SocketAddr;

use crate::{ServiceId, ZoneId};

/// One upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name, unique among upstreams.
    pub name: String,
    /// Service that it runs.
    pub service: ServiceId,
    /// Availability zone that it stands in.
    pub zone: ZoneId,
    /// Address for requests, health and load.
    pub address: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u16,
    /// Connections that it takes at the same time.
    pub connections: u16,
}
