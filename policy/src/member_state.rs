use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State of an instance as this instance sees it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// No heartbeat so far, and this instance has not run for the peer timeout yet.
    #[display("unknown")]
    Unknown,
    /// The last heartbeat is recent.
    #[display("live")]
    Live,
    /// Unreachable, or without heartbeats for a part of the peer timeout.
    #[display("suspect")]
    Suspect,
    /// Without heartbeats for the whole peer timeout.
    #[display("out of reach")]
    OutOfReach,
    /// Sends heartbeats and accepts no new requests.
    #[display("leaving")]
    Leaving,
    /// Without heartbeats after it was leaving or was removed from the platform's list.
    #[display("left")]
    Left,
}

impl MemberState {
    /// Returns whether the member accepts new requests.
    pub fn takes_work(self) -> bool {
        matches!(self, Self::Live | Self::Suspect)
    }
}
