use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What an entry instance tells every control instance of itself, in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// Name of the instance.
    pub instance: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Whether it takes work.
    pub state: PresenceState,
    /// This run of the process, in milliseconds since the Unix epoch at its start.
    pub boot_ms: u64,
    /// Number of the datagram in this run.
    pub sequence: u64,
}

/// Whether an entry instance takes work.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum PresenceState {
    /// It takes work.
    #[display("ready")]
    Ready,
    /// It does not take work yet.
    #[display("starting")]
    Starting,
    /// It stops; callers should go elsewhere.
    #[display("leaving")]
    Leaving,
}
