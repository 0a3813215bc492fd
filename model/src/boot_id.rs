use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Identifier of one run of a process. A restarted process has another one, also at the same
/// address.
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
pub struct BootId(pub u64);
