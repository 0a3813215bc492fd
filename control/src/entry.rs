use laburnumdeal_model::{AuditRecord, Change, Term};
use serde::{Deserialize, Serialize};

use crate::{Members, encoded_bytes};

/// Maximum number of steered blocks named by one message, unless a single change names more. A
/// block is an IP network that a change steers to zones.
const MAX_BLOCKS_PER_MESSAGE: usize = 20_000;

/// Maximum encoded length of the entries or audit records in one message, in bytes, unless a single
/// one is longer. Members refuse messages of more than 32 MiB, and a leader takes one that confirms
/// late for silent.
const MAX_MESSAGE_BYTES: u64 = 4 * 1024 * 1024;

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

/// Returns how many of the first items fit into one message, by the steered blocks that they name and
/// by their encoded length. The first item always fits.
pub(crate) fn fitting_count<'a, T: Serialize + 'a>(
    items: impl Iterator<Item = &'a T>,
    block_count: impl Fn(&T) -> usize,
) -> usize {
    let (mut blocks, mut bytes) = (0, 0);
    let fitting = items.take_while(|item| {
        blocks += block_count(item);
        bytes += encoded_bytes(item);
        blocks <= MAX_BLOCKS_PER_MESSAGE && bytes <= MAX_MESSAGE_BYTES
    });
    fitting.count().max(1)
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
