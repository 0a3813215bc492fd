use std::collections::BTreeSet;

use laburnumdeal_model::{BootId, InstanceId};

use crate::claim_domain::ClaimDomain;
use crate::{ExportId, HandOver};

/// Claims that a run of another instance handed over when it stopped.
#[derive(Debug)]
pub(crate) struct ClaimImport {
    from: InstanceId,
    boot: BootId,
    export: ExportId,
    received: BTreeSet<u32>,
    total: u32,
    pub domain: ClaimDomain,
}

impl ClaimImport {
    /// Returns an import without records for the export of a message.
    pub fn new(message: &HandOver) -> Self {
        Self {
            from: message.from,
            boot: message.from_boot,
            export: message.export,
            received: BTreeSet::new(),
            total: message.total,
            domain: ClaimDomain::closed(message.floor_ms),
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

    /// Notes a part as received; returns false if it had been received before.
    pub fn receive(&mut self, part: u32) -> bool {
        part < self.total && self.received.insert(part)
    }

    /// Returns whether every part has been received.
    pub fn is_complete(&self) -> bool {
        self.received.len() == self.total as usize
    }
}
