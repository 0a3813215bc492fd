use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

/// Term of a leader in the replicated log; a later term has a higher number.
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
