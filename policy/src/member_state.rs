use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What this instance holds of a peer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Never heard, and this instance has not run for long.
    #[display("unknown")]
    Unknown,
    /// Heard a short while ago.
    #[display("live")]
    Live,
    /// Silent or unreachable for a part of the timeout.
    #[display("suspect")]
    Suspect,
    /// Silent for the whole timeout.
    #[display("out of reach")]
    OutOfReach,
    /// Heard, and takes no new work.
    #[display("leaving")]
    Leaving,
    /// Silent after it was leaving or after the platform dropped it.
    #[display("left")]
    Left,
}

impl MemberState {
    /// Returns whether the member counts as taking work.
    pub fn takes_work(self) -> bool {
        matches!(self, Self::Live | Self::Suspect)
    }
}
