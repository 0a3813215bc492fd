use derive_more::Display;
use laburnumdeal_model::{BootId, InstanceId};
use serde::{Deserialize, Serialize};

/// Unique identifier of a grant.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{lender}/{boot}/{sequence}")]
pub struct GrantId {
    /// Lender.
    pub lender: InstanceId,
    /// Run of the lender's process.
    pub boot: BootId,
    /// Sequence number within the run.
    pub sequence: u64,
}
