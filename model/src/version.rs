use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Version of the configuration: the number of accepted changes, 0 before the first.
#[derive(
    Clone,
    Copy,
    Default,
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
pub struct Version(pub u64);

impl Version {
    /// Returns the version that follows this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
