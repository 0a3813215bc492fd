use laburnumdeal_model::{Applied, Term};
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
