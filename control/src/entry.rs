use laburnumdeal_model::{AuditRecord, Change, Term};
use serde::{Deserialize, Serialize};

use crate::Members;

/// Maximum number of steered blocks named by one message, unless a single change names more. A
/// block is an IP network that a change steers to zones.
const MAX_BLOCKS_PER_MESSAGE: usize = 20_000;

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Index in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: Term,
    /// Contents of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Returns the number of steered blocks that the entry names.
    pub fn steered_block_count(&self) -> usize {
        match &self.payload {
            Payload::Command(applied) => steered_block_count(&applied.change),
            _ => 0,
        }
    }
}

/// Returns the number of steered blocks that a change names.
pub(crate) fn steered_block_count(change: &Change) -> usize {
    match change {
        Change::Steer { blocks, .. } => blocks.len(),
        _ => 0,
    }
}

/// Truncates a list so that it names at most [`MAX_BLOCKS_PER_MESSAGE`] steered blocks. The first
/// item is always kept.
pub(crate) fn truncate_to_max_blocks<T>(list: &mut Vec<T>, block_count: impl Fn(&T) -> usize) {
    let mut sum = 0;
    let fitting = list.iter().take_while(|item| {
        sum += block_count(item);
        sum <= MAX_BLOCKS_PER_MESSAGE
    });
    let fitting = fitting.count();
    list.truncate(fitting.max(1));
}

/// Contents of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader's term. Committing it also commits the entries of earlier terms.
    Noop,
    /// Command with the verdict that the leader reached.
    Command(Box<AuditRecord>),
    /// New members, in effect from this entry on.
    Members(Members),
}
