use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Key of a region in [`Topology::regions`](crate::Topology).
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
pub struct RegionId(pub u8);

impl RegionId {
    /// Returns the position of the region in the topology.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}
