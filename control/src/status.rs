use laburnumdeal_model::{InstanceId, Term, Version};

use crate::{Member, ReplicaIdentity, Role};

/// What a replica knows about itself and the others.
#[derive(Clone, Debug)]
pub struct Status {
    /// Instance of this replica.
    pub me: InstanceId,
    /// Identity of its folder.
    pub identity: ReplicaIdentity,
    /// Newest term that it knows.
    pub term: Term,
    /// Leader, as far as it knows.
    pub leader: Option<InstanceId>,
    /// What it does.
    pub role: Role,
    /// Whether it leads and holds a valid lease.
    pub has_lease: bool,
    /// Last entry that it knows to be committed.
    pub commit_index: u64,
    /// Last entry of its log.
    pub last_index: u64,
    /// Last entry that its snapshot covers.
    pub snapshot_index: u64,
    /// Version in force as far as it knows.
    pub version: Version,
    /// Whether its storage refused the last write for want of room.
    pub storage_full: bool,
    /// Every member of the log; positions are known on the leader alone.
    pub replicas: Vec<ReplicaStatus>,
}

/// One member of the log as its leader sees it.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// The member.
    pub member: Member,
    /// Last entry that it has synced, where known.
    pub matched_index: Option<u64>,
    /// Whether it answered within the last election timeout, where known.
    pub live: Option<bool>,
}
