use laburnumdeal_model::{InstanceId, Term, Version};

use crate::{Member, ReplicaIdentity, Role};

/// Status of a replica and, on a leader, of the other members.
#[derive(Clone, Debug)]
pub struct Status {
    /// Instance that this replica runs on.
    pub me: InstanceId,
    /// Identity of this replica.
    pub identity: ReplicaIdentity,
    /// Newest term known to this replica.
    pub term: Term,
    /// Leader known to this replica.
    pub leader: Option<InstanceId>,
    /// Current role.
    pub role: Role,
    /// Whether this replica leads and holds a valid lease.
    pub has_lease: bool,
    /// Last entry that this replica knows to be committed.
    pub commit_index: u64,
    /// Last entry of the log.
    pub last_index: u64,
    /// Last entry that the snapshot covers.
    pub snapshot_index: u64,
    /// Version of the last committed configuration known to this replica.
    pub version: Version,
    /// Whether the last write to the data folder failed because the disk was full.
    pub storage_full: bool,
    /// Status of all members; their progress is known only on the leader.
    pub replicas: Vec<ReplicaStatus>,
}

/// Status of one member, as seen by its leader.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// Member that the status is of.
    pub member: Member,
    /// Last entry that the member has synced, if known.
    pub matched_index: Option<u64>,
    /// Whether the member responded within the last election timeout, if known.
    pub live: Option<bool>,
}
