use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Key of an availability zone in [`Topology::zones`](crate::Topology).
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
pub struct ZoneId(pub u16);

impl ZoneId {
    /// Returns the position of the availability zone in the topology.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}
