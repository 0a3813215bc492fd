use serde::{Deserialize, Serialize};

use crate::ClaimRecord;

/// Reply to a restarted instance: records of the tokenless keys that it shares with the sender.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenlessSync {
    /// Records of the shared keys on the sender.
    pub records: Vec<ClaimRecord>,
    /// Whether the previous run of the receiver had handed all its records over to the sender.
    pub is_complete: bool,
}
