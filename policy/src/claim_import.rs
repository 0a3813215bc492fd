use std::collections::BTreeSet;

use laburnumdeal_model::{BootId, InstanceId};

use crate::claim_partition::ClaimPartition;
use crate::{ExportId, HandOver};

/// Claims that a run of another instance handed over at its planned stop.
#[derive(Debug)]
pub(crate) struct ClaimImport {
    from: InstanceId,
    boot: BootId,
    export: ExportId,
    /// Numbers of the parts received so far.
    received: BTreeSet<u32>,
    total: u32,
    pub partition: ClaimPartition,
}

impl ClaimImport {
    /// Returns an empty import for the export that a message belongs to.
    pub fn new(message: &HandOver) -> Self {
        Self {
            from: message.from,
            boot: message.from_boot,
            export: message.export,
            received: BTreeSet::new(),
            total: message.total,
            partition: ClaimPartition::closed(message.floor_ms),
        }
    }

    pub fn is_of(&self, from: InstanceId, boot: BootId) -> bool {
        (self.from, self.boot) == (from, boot)
    }

    pub fn is_export(&self, export: ExportId) -> bool {
        self.export == export
    }

    pub fn run(&self) -> (InstanceId, BootId) {
        (self.from, self.boot)
    }

    /// Marks a part as received and returns whether it is valid and new.
    pub fn mark_received(&mut self, part: u32) -> bool {
        part < self.total && self.received.insert(part)
    }

    /// Returns whether every part has been received.
    pub fn is_complete(&self) -> bool {
        self.received.len() == self.total as usize
    }
}
