use laburnumdeal_model::{Applied, Change, Term};
use serde::{Deserialize, Serialize};

use crate::Members;

/// Steered blocks named by one message at most, unless a single change names more.
const MESSAGE_BLOCKS: usize = 20_000;

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, from 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: Term,
    /// What it says.
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

/// Cuts a list where it would name more steered blocks than one message carries; one item stays.
pub(crate) fn cut_to_message<T>(list: &mut Vec<T>, blocks: impl Fn(&T) -> usize) {
    let mut sum = 0;
    let fitting = list.iter().take_while(|item| {
        sum += blocks(item);
        sum <= MESSAGE_BLOCKS
    });
    let fitting = fitting.count();
    list.truncate(fitting.max(1));
}

/// Contents of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader; it commits what earlier leaders left behind.
    Noop,
    /// A command with the verdict that its leader reached.
    Command(Box<Applied>),
    /// Members from this entry on.
    Members(Members),
}
