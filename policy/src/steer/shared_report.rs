use serde::{Deserialize, Serialize};

/// Load of an upstream that it reported to one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedLoad {
    /// Hash of the upstream's identity.
    pub upstream: u64,
    /// Requests that it ran or queued.
    pub requests: u32,
    /// Time since its report.
    pub age_ms: u32,
}

/// Object that an upstream handled recently, so that it is likely to hold it in its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedObject {
    /// Hash of the upstream's identity.
    pub upstream: u64,
    /// Hash of the object.
    pub object: u64,
}

/// Limit that an upstream named in an answer to one instance, or that such an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SharedLimit {
    /// Hash of the upstream's identity.
    pub upstream: u64,
    /// Requests per second that it takes from all instances together; `None` for no limit.
    pub per_s: Option<f64>,
    /// Time since the answer.
    pub age_ms: u32,
}

/// Limits, loads and cached objects of upstreams that instances report to each other, since with many
/// instances each by itself receives too few answers of an upstream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SharedReport {
    /// Limits that upstreams named or ended.
    pub limits: Vec<SharedLimit>,
    /// Loads that upstreams reported.
    pub loads: Vec<SharedLoad>,
    /// Objects that upstreams handled.
    pub objects: Vec<SharedObject>,
}
