use laburnumdeal_model::{InstanceId, UpstreamId};
use serde::{Deserialize, Serialize};

/// Message by which an owner passes an upstream on to another instance of its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamHandOver {
    /// Upstream that changes hands.
    pub upstream: UpstreamId,
    /// Owner before, which admits nothing more to the upstream.
    pub from: InstanceId,
    /// Owner after.
    pub to: InstanceId,
    /// Requests that the owner before still has in flight at the upstream.
    pub in_flight: u32,
    /// Time within which the last of them ends.
    pub longest_deadline_ms: u64,
}
