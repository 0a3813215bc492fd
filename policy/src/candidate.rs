use std::time::Duration;

use derive_more::Display;
use laburnumdeal_model::UpstreamId;

/// An upstream as the selection sees it at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Key of the upstream.
    pub upstream: UpstreamId,
    /// Latency that is expected of a new request.
    pub latency: Duration,
    /// Requests of this instance in flight on it.
    pub in_flight: u32,
    /// Requests that it runs at the same time when all its slots are open.
    pub slots: u16,
    /// Reason why it would or would not be chosen.
    pub reason: CandidateReason,
}

/// Reason why an upstream would or would not be chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CandidateReason {
    /// A slot is free.
    #[display("has room")]
    HasRoom,
    /// Every slot is taken.
    #[display("full")]
    Full,
    /// Only some slots are open while its caches warm up.
    #[display("cold: {open} of {slots} slots")]
    Cold {
        /// Number of open slots.
        open: u16,
        /// Number of slots of the upstream.
        slots: u16,
    },
    /// A drain moves its requests away.
    #[display("draining")]
    Draining,
    /// It is about to stop.
    #[display("leaving")]
    Leaving,
    /// It shed a request and gets no new ones until the backoff ends.
    #[display("shed a moment ago")]
    Shed,
    /// Only some slots are open since it shed requests.
    #[display("shed lately: {open} of {slots} slots")]
    ShedLately {
        /// Number of open slots.
        open: u16,
        /// Number of slots of the upstream.
        slots: u16,
    },
    /// Its last requests failed.
    #[display("failing")]
    Failing,
    /// Its last requests failed; one probe request at a time tests whether it has recovered.
    #[display("failing: one probe at a time")]
    Probing,
    /// Its last load report says that it is failing or full, and no answer has contradicted that.
    #[display("reported full or failing")]
    Reported,
    /// The remaining slots may still be taken by requests of an owner that died.
    #[display("slots assumed taken after its owner died")]
    Assumed,
    /// The service may not use it, or another instance owns it.
    #[display("not allowed")]
    NotAllowed,
}
