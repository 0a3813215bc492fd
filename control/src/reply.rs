use laburnumdeal_model::{Applied, Term};
use serde::{Deserialize, Serialize};

use crate::{ClusterId, Committed, ReplaceError, ReplicaIdentity, SubmitError};

/// Reply to a [`ControlRequest`](crate::ControlRequest).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Identity of a replica.
    Identity {
        /// Identity of its folder.
        identity: ReplicaIdentity,
        /// Log that it belongs to; `None` while it is blank.
        cluster: Option<ClusterId>,
        /// Region that it runs in.
        region: String,
    },
    /// What a replica that asked to join needs to know.
    Joined {
        /// Name of the leader, as far as the receiver knows.
        leader: Option<String>,
        /// Names of the members, as far as the receiver knows.
        members: Vec<String>,
    },
    /// Whether a vote was given.
    Vote {
        /// Term of the voter.
        term: Term,
        /// Whether the sender has the vote.
        granted: bool,
    },
    /// Outcome of entries or of a part of a snapshot.
    Append {
        /// Term of the follower.
        term: Term,
        /// Whether the follower now agrees up to `matched`.
        success: bool,
        /// Last entry that agrees and is synced, or where to look for one.
        matched: u64,
        /// Whether the follower's storage is full.
        storage_full: bool,
    },
    /// The receiver has another identity or belongs to another log.
    WrongReplica {
        /// Identity of the receiver.
        identity: ReplicaIdentity,
        /// Log that it belongs to; `None` while it is blank.
        cluster: Option<ClusterId>,
    },
    /// The request was carried out.
    Done,
    /// The receiver could not carry out the request; nothing was changed.
    Failed,
    /// Outcome of a submission.
    Submitted(Result<Committed, SubmitError>),
    /// Entry that a confirmed read must have seen; `None` without a valid lease.
    ReadIndex(Option<u64>),
    /// Audit records without a gap.
    Records {
        /// Records in order.
        records: Vec<Applied>,
        /// Last index that they cover.
        through_index: u64,
    },
    /// Outcome of a replacement.
    Replaced(Result<(), ReplaceError>),
}
