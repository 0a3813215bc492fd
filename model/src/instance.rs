use std::net::SocketAddr;

use crate::ZoneId;

/// One entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name, unique among instances.
    pub name: String,
    /// Availability zone that it stands in.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Address for operators, health and metrics.
    pub operator_address: SocketAddr,
    /// Whether the instance is a replica of the change log.
    pub control: bool,
}
