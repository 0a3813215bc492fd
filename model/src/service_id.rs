use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Key of a service in [`Topology::services`](crate::Topology).
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
pub struct ServiceId(pub u16);

impl ServiceId {
    /// Returns the position of the service in the topology.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}
