use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Datagram that an entry instance sends to all control instances periodically and when its state
/// changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Name of the instance.
    pub instance: String,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Availability zone of the instance.
    pub zone: String,
    /// Region of the instance.
    pub region: String,
    /// Whether the instance takes requests.
    pub state: PresenceState,
    /// Start of the process in milliseconds since the Unix epoch; distinguishes restarts.
    pub boot_ms: u64,
    /// Sequence number of the datagram since the start of the process.
    pub sequence: u64,
}

/// Whether an entry instance takes requests.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum PresenceState {
    /// It takes requests.
    #[display("ready")]
    Ready,
    /// It does not take requests yet: it lacks a configuration or a list of upstreams.
    #[display("starting")]
    Starting,
    /// It is stopping; callers should use other instances.
    #[display("leaving")]
    Leaving,
}
