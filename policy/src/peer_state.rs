use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State that an instance reports about itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerState {
    /// Accepts new requests.
    #[display("live")]
    Live,
    /// Finishes its requests in flight and accepts no new ones.
    #[display("leaving")]
    Leaving,
}
