use laburnumdeal_model::{BootId, InstanceId};
use serde::{Deserialize, Serialize};

use crate::{ClaimRecord, ExportId};

/// One message of a hand-over on a planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// Instance whose claims these are.
    pub from: InstanceId,
    /// Run of that instance.
    pub from_boot: BootId,
    /// Export that this message is a part of; parts of different exports do not make a whole.
    pub export: ExportId,
    /// Floor of that run.
    pub floor_ms: Option<u64>,
    /// Number of this message, from 0.
    pub part: u32,
    /// Number of messages.
    pub total: u32,
    /// Records of this message.
    pub records: Vec<ClaimRecord>,
}
