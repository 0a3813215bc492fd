use laburnumdeal_model::{Digest, InstanceId};
use laburnumdeal_policy::{Heartbeat, PoisonMark, ServiceLoad, ZoneLoad};
use serde::{Deserialize, Serialize};

/// Heartbeat message that two instances exchange at short intervals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMessage {
    /// Sender.
    pub from: InstanceId,
    /// Hash of the sender's topology; ids in messages are only valid under the same topology.
    pub topology: Digest,
    /// Sender's boot id, state and configuration version.
    pub heartbeat: Heartbeat,
    /// Hash of the sender's configuration, if it has one.
    pub configuration: Option<Digest>,
    /// Time since the leader last confirmed the sender's configuration.
    pub confirmed_age_ms: Option<u64>,
    /// Load of the upstreams that the sender owns, by service.
    pub own_room: Vec<ServiceLoad>,
    /// Load reports of availability zones: the sender's own zone, or other zones it has reports of.
    pub zones: Vec<ZoneLoad>,
    /// Marks of requests that were in flight at recent crashes of upstreams.
    pub poison: Vec<PoisonMark>,
    /// Last heartbeats of the other instances of the sender's zone; see [`MemberReport`].
    pub members: Vec<MemberReport>,
}

/// Last heartbeat of one instance, passed on by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Instance that sent the heartbeat.
    pub instance: InstanceId,
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// Time since the heartbeat was received.
    pub age_ms: u64,
}
