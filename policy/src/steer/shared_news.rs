use serde::{Deserialize, Serialize};

/// Load of an upstream as it told one instance, for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedLoad {
    /// Hash of the upstream's identity.
    pub upstream: u64,
    /// Requests that it ran or held in its queue.
    pub requests: u32,
    /// Time since it told so.
    pub age_ms: u32,
}

/// Upstream that handled an object a short while ago, so that it works faster on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedObject {
    /// Hash of the upstream's identity.
    pub upstream: u64,
    /// Hash of the object.
    pub object: u64,
}

/// What an instance heard of upstreams, for the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedNews {
    /// Loads that upstreams told.
    pub loads: Vec<SharedLoad>,
    /// Objects that upstreams handled.
    pub objects: Vec<SharedObject>,
}
