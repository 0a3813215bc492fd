use laburnumdeal_model::UpstreamId;
use serde::{Deserialize, Serialize};

/// Crashes of upstreams that ran a request, as told to other instances.
///
/// Times are ages at the time of sending, so that no clocks are compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonMark {
    /// Hash of service, method, path and key or body.
    pub fingerprint: u64,
    /// Crashes in order of time.
    pub crashes: Vec<PoisonCrash>,
    /// Time since a run of the request last completed.
    pub completed_age_ms: Option<u64>,
}

/// One crash of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonCrash {
    /// Upstream that crashed.
    pub upstream: UpstreamId,
    /// Time since the crash.
    pub age_ms: u64,
}
