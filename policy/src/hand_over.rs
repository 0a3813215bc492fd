use laburnumdeal_model::{BootId, InstanceId};
use serde::{Deserialize, Serialize};

use crate::{ClaimRecord, ExportId};

/// One message of the hand-over of claims at a planned stop.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandOver {
    /// Instance that the claims belong to.
    pub from: InstanceId,
    /// Boot id of that instance.
    pub from_boot: BootId,
    /// Export that this message is a part of; parts of different exports are not combined.
    pub export: ExportId,
    /// Highest issue time of a token of that run whose record was evicted.
    pub floor_ms: Option<u64>,
    /// Number of this message, from 0.
    pub part: u32,
    /// Number of messages for that run in the export.
    pub total: u32,
    /// Records of this message.
    pub records: Vec<ClaimRecord>,
}
