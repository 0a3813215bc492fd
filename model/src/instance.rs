use std::net::SocketAddr;

use crate::ZoneId;

/// An entry instance and its addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name, unique among instances.
    pub name: String,
    /// Availability zone that the instance runs in.
    pub zone: ZoneId,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that other instances connect to.
    pub peer_address: SocketAddr,
    /// Address of the operator interface, health checks and metrics.
    pub operator_address: SocketAddr,
    /// Whether the instance is a control replica, which stores the replicated log of changes.
    pub control: bool,
}
