use laburnumdeal_model::{Digest, InstanceId, Submission, Term};
use serde::{Deserialize, Serialize};

use crate::{Candidate, Entry, Header};

/// Request from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Requests the receiver's identity.
    Identify,
    /// Requests to join the cluster as a member.
    Join(Candidate),
    /// Requests a vote.
    Vote {
        /// Term that the sender campaigns in, its identity and the voter's.
        header: Header,
        /// Whether this is a pre-vote, which asks if the vote would be granted.
        pre_vote: bool,
        /// Whether the leader itself transferred leadership, so that its lease does not prevent the
        /// vote.
        transfer: bool,
        /// Index of the last entry in the sender's log.
        last_index: u64,
        /// Term of the last entry in the sender's log.
        last_term: Term,
    },
    /// Appends entries; without entries it serves as a heartbeat.
    Append {
        /// Term of the leader, its identity and the receiver's.
        header: Header,
        /// Index of the entry before the first of `entries`.
        previous_index: u64,
        /// Term of the entry before the first of `entries`.
        previous_term: Term,
        /// Entries by ascending index.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit_index: u64,
    },
    /// Transfers one chunk of a snapshot.
    Snapshot {
        /// Term of the leader, its identity and the receiver's.
        header: Header,
        /// Index of the last entry that the snapshot covers.
        index: u64,
        /// Length of the whole snapshot, in bytes.
        total_bytes: u64,
        /// Offset of this chunk, in bytes.
        offset: u64,
        /// Contents of this chunk.
        bytes: Vec<u8>,
        /// Hash of the whole snapshot.
        digest: Digest,
    },
    /// Tells the receiver to start an election at once, which transfers leadership to it.
    TakeOver {
        /// Term of the leader that steps down, its identity and the receiver's.
        header: Header,
    },
    /// Forwards a submitted change to the leader.
    Submit {
        /// Term in which the sender knows the receiver as leader.
        term: Term,
        /// Number of the call, by which the leader detects duplicate messages.
        call: u64,
        /// The change.
        submission: Submission,
    },
    /// Requests the leader's commit index, which a confirmed read must have reached.
    ReadIndex,
    /// Requests audit records.
    Records {
        /// Index of the first record to return.
        from_index: u64,
    },
    /// Requests the leader to replace a voter.
    Replace {
        /// Instance of the voter to remove.
        old: InstanceId,
        /// Instance of the replica that replaces it.
        new: InstanceId,
    },
}
