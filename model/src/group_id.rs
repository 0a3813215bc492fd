use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Key of a group in [`Steering::groups`](crate::Steering::groups): one ordered list of
/// availability zones.
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
pub struct GroupId(pub u16);

impl GroupId {
    /// Returns the position of the group in the list of groups.
    pub fn index(self) -> usize {
        self.0 as usize
    }
}
