use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Key of an entry instance in [`Topology::instances`](crate::Topology).
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
pub struct InstanceId(pub u16);

impl InstanceId {
    /// Returns the position of the instance in the topology.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}
