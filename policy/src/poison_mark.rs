use laburnumdeal_model::UpstreamId;
use serde::{Deserialize, Serialize};

/// Upstream crashes that a request was in flight at, as sent to other instances.
///
/// Times are ages at the time of sending, so that clocks of different instances are not compared.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonMark {
    /// Hash of service, method, path and key or body.
    pub fingerprint: u64,
    /// Crashes, oldest first.
    pub crashes: Vec<PoisonCrash>,
    /// Time since the request last ran to completion.
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
