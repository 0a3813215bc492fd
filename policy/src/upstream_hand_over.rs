use laburnumdeal_model::{InstanceId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Message with which an owner hands an upstream over to another instance of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamHandOver {
    /// Upstream that is handed over.
    pub upstream: UpstreamId,
    /// Former owner, which admits no more requests to the upstream.
    pub from: InstanceId,
    /// New owner.
    pub to: InstanceId,
    /// Requests that the former owner still has in flight on the upstream.
    pub in_flight: u32,
    /// Time within which the last of these requests ends.
    pub longest_deadline_ms: u64,
}
