use derive_more::Display;
use laburnumdeal_model::{BootId, InstanceId};
use serde::{Deserialize, Serialize};

/// Identity of a grant, never used twice.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[display("{lender}/{boot}/{sequence}")]
pub struct GrantId {
    /// Instance that lends.
    pub lender: InstanceId,
    /// Run of the lender.
    pub boot: BootId,
    /// Number within the run.
    pub sequence: u64,
}
