use laburnumdeal_model::{Digest, InstanceId};
use laburnumdeal_policy::{Heartbeat, PoisonMark, ServiceLoad, ZoneLoad};
use serde::{Deserialize, Serialize};

/// What two instances tell each other at short intervals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beat {
    /// Sender.
    pub from: InstanceId,
    /// Hash of the sender's topology; keys mean nothing under another one.
    pub topology: Digest,
    /// Sender's run, state and configuration version.
    pub heartbeat: Heartbeat,
    /// Hash of the sender's configuration, if it has one.
    pub configuration: Option<Digest>,
    /// Time since the leader last confirmed the sender's view of the configuration.
    pub confirmed_age_ms: Option<u64>,
    /// Room on the upstreams that the sender owns.
    pub own_room: Vec<ServiceLoad>,
    /// Load of availability zones: the sender's own, and others that it heard of.
    pub zones: Vec<ZoneLoad>,
    /// Requests that crashed upstreams a short while ago.
    pub poison: Vec<PoisonMark>,
    /// Instances that the sender holds to be fenced or in force; see [`MemberReport`].
    pub members: Vec<MemberReport>,
}

/// What one instance last said of itself, passed on by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    /// Instance that is reported.
    pub instance: InstanceId,
    /// What it said.
    pub heartbeat: Heartbeat,
    /// Time since it said so.
    pub age_ms: u64,
}
