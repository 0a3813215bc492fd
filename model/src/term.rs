use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Number of a leader's term in the replicated log.
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
pub struct Term(pub u64);
