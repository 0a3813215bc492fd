use laburnumdeal_model::{BootId, InstanceId};
use serde::{Deserialize, Serialize};

/// Identifies one export of claims by a run of an instance.
///
/// An export also includes the claims that other runs have handed over to the exporting one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExportId {
    /// Instance that exported.
    pub by: InstanceId,
    /// Boot id of that instance.
    pub by_boot: BootId,
    /// Number of the export within that run.
    pub number: u64,
}
