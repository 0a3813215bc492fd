use laburnumdeal_model::{Applied, Change, Term};
use serde::{Deserialize, Serialize};

use crate::Members;

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
    pub fn blocks(&self) -> usize {
        match &self.payload {
            Payload::Command(applied) => blocks(&applied.change),
            _ => 0,
        }
    }
}

/// Returns the number of steered blocks that a change names.
pub(crate) fn blocks(change: &Change) -> usize {
    match change {
        Change::Steer { blocks, .. } => blocks.len(),
        _ => 0,
    }
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
