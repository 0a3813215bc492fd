use laburnumdeal_model::{BootId, InstanceId};
use serde::{Deserialize, Serialize};

/// Names one export of one run, also when that passes on what another run had handed to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExportId {
    /// Instance that exported.
    pub by: InstanceId,
    /// Run of that instance.
    pub by_boot: BootId,
    /// Number of the export in that run.
    pub number: u64,
}
