use laburnumdeal_model::{Digest, InstanceId, Submission, Term};
use serde::{Deserialize, Serialize};

use crate::{Candidate, Entry, Header};

/// Request from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Asks for the receiver's identity.
    Identify,
    /// Asks to be taken in as a member.
    Join(Candidate),
    /// Asks for a vote.
    Vote {
        /// Term that the sender stands for, and the two ends.
        header: Header,
        /// Asks only whether the receiver would vote so.
        pre_vote: bool,
        /// The leader itself handed over, so its lease does not count.
        transfer: bool,
        /// Last entry of the sender.
        last_index: u64,
        /// Term of the last entry of the sender.
        last_term: Term,
    },
    /// Appends entries, or proves that the leader is alive when there are none.
    Append {
        /// Term of the leader, and the two ends.
        header: Header,
        /// Entry before the first of `entries`.
        previous_index: u64,
        /// Term of the entry before the first of `entries`.
        previous_term: Term,
        /// Entries in order.
        entries: Vec<Entry>,
        /// Last entry that is committed.
        commit_index: u64,
    },
    /// Carries one part of a snapshot.
    Snapshot {
        /// Term of the leader, and the two ends.
        header: Header,
        /// Last entry that the snapshot covers.
        index: u64,
        /// Length of the whole snapshot.
        total_bytes: u64,
        /// Position of this part.
        offset: u64,
        /// Contents of this part.
        bytes: Vec<u8>,
        /// Hash of the whole snapshot.
        digest: Digest,
    },
    /// Tells the receiver to stand for election at once.
    TakeOver {
        /// Term of the leader that stops, and the two ends.
        header: Header,
    },
    /// Submits a change to the leader.
    Submit {
        /// Term that the receiver leads as far as the sender knows.
        term: Term,
        /// Number of the call, which tells a repeated message from a new one.
        call: u64,
        /// The change.
        submission: Submission,
    },
    /// Asks the leader for the entry that a confirmed read must have seen.
    ReadIndex,
    /// Asks for audit records.
    Records {
        /// Index of the first.
        from_index: u64,
    },
    /// Asks the leader to replace a voter.
    Replace {
        /// Instance whose replica goes.
        old: InstanceId,
        /// Instance whose replica comes.
        new: InstanceId,
    },
}
