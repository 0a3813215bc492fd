use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Key of an upstream in [`Topology::upstreams`](crate::Topology).
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    From,
    Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct UpstreamId(pub u32);

impl UpstreamId {
    /// Returns the position of the upstream in the topology.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}
