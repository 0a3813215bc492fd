use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What an instance says of itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerState {
    /// Takes new work.
    #[display("live")]
    Live,
    /// Finishes its work and takes no new work.
    #[display("leaving")]
    Leaving,
}
