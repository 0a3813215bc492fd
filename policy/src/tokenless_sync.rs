use serde::{Deserialize, Serialize};

use crate::ClaimRecord;

/// Records of the keys without a token that two instances share.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenlessSync {
    /// Records that the sender has.
    pub records: Vec<ClaimRecord>,
    /// Whether the earlier run of the receiver had handed all its records to the sender.
    pub is_complete: bool,
}
