use laburnumdeal_model::{AuditRecord, Term};
use serde::{Deserialize, Serialize};

use crate::{ClusterId, Committed, ReplaceError, ReplicaIdentity, SubmitError};

/// Reply to a [`ControlRequest`](crate::ControlRequest).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Identity of the receiver.
    Identity {
        /// Identity of the replica.
        identity: ReplicaIdentity,
        /// Cluster that the receiver belongs to; `None` while it is blank.
        cluster: Option<ClusterId>,
        /// Region that the receiver runs in.
        region: String,
    },
    /// Answer to a request to join: which replicas to ask next.
    Joined {
        /// Instance name of the leader known to the receiver.
        leader: Option<String>,
        /// Instance names of the members known to the receiver.
        members: Vec<String>,
    },
    /// Answer to a request for a vote.
    Vote {
        /// Term of the voter.
        term: Term,
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Answer to entries or a snapshot chunk.
    Append {
        /// Term of the follower.
        term: Term,
        /// Whether the follower's log agrees with the leader's up to `matched`.
        success: bool,
        /// On success the last entry that agrees and is synced; otherwise the last entry that may
        /// agree, or the number of bytes received of an incomplete snapshot.
        matched: u64,
        /// Whether the follower's data folder is full.
        storage_full: bool,
    },
    /// The receiver has another identity than expected or belongs to another cluster.
    WrongReplica {
        /// Identity of the receiver.
        identity: ReplicaIdentity,
        /// Cluster that the receiver belongs to; `None` while it is blank.
        cluster: Option<ClusterId>,
    },
    /// The request was completed.
    Done,
    /// The receiver could not complete the request.
    Failed,
    /// Outcome of a submission.
    Submitted(Result<Committed, SubmitError>),
    /// Commit index that a confirmed read must have reached; `None` if the receiver holds no valid
    /// lease.
    ReadIndex(Option<u64>),
    /// Contiguous audit records.
    Records {
        /// Records by ascending index.
        records: Vec<AuditRecord>,
        /// Last log index that the records cover.
        through_index: u64,
    },
    /// Outcome of a replacement.
    Replaced(Result<(), ReplaceError>),
}
