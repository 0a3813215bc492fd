use std::time::Duration;

use derive_more::Display;
use laburnumdeal_model::UpstreamId;

/// One upstream as the choice sees it now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Key of the upstream.
    pub upstream: UpstreamId,
    /// Latency that the choice expects of it.
    pub latency: Duration,
    /// Requests of this instance that run on it.
    pub in_flight: u32,
    /// Requests that it runs at the same time when nothing limits it.
    pub slots: u16,
    /// Why it would or would not be chosen.
    pub reason: CandidateReason,
}

/// Why an upstream would or would not be chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CandidateReason {
    /// A request could take a slot.
    #[display("has room")]
    HasRoom,
    /// Every slot is taken.
    #[display("full")]
    Full,
    /// Only some slots are open while its caches warm up.
    #[display("cold: {open} of {slots} slots")]
    Cold {
        /// Slots that are open.
        open: u16,
        /// Slots that it has.
        slots: u16,
    },
    /// A drain moves its work away.
    #[display("draining")]
    Draining,
    /// It is about to stop.
    #[display("leaving")]
    Leaving,
    /// It shed a request and gets no work for a moment.
    #[display("shed a moment ago")]
    Shed,
    /// Only some slots are open after it shed requests.
    #[display("shed lately: {open} of {slots} slots")]
    ShedLately {
        /// Slots that are open.
        open: u16,
        /// Slots that it has.
        slots: u16,
    },
    /// Its last requests failed.
    #[display("failing")]
    Failing,
    /// Its last requests failed; one request at a time finds out whether it is back.
    #[display("failing: one probe at a time")]
    Probing,
    /// Its own report says that it fails or has no room, and nothing has shown otherwise.
    #[display("reported full or failing")]
    Reported,
    /// The slots that remain may still be taken by requests of an owner that died.
    #[display("slots assumed taken after its owner died")]
    Assumed,
    /// The service may not use it, or another instance owns it.
    #[display("not allowed")]
    NotAllowed,
}
