use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Identity of one run of a process; a restart under the same address has another.
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
