use std::time::Duration;

use tokio::time::Instant;

use crate::steer::{Places, UpstreamKey};

/// Properties of a request that decide which upstream is chosen for it.
#[derive(Clone, Copy, Debug)]
pub struct RequestContext<'a> {
    /// Name of the route that the request matched.
    pub route: &'a str,
    /// Name of the service that handles it.
    pub service: &'a str,
    /// Hash of the object that it concerns. Upstreams answer faster for objects in their cache, so
    /// requests for one object go to the same few upstreams.
    pub object: u64,
    /// Regions whose upstreams may serve it; empty for all.
    pub regions: &'a [String],
    /// Upstreams that earlier attempts were made at.
    pub tried: &'a [UpstreamKey],
    /// Time until its deadline.
    pub time_left: Duration,
    /// Time since it arrived.
    pub elapsed: Duration,
    /// Latency that its answer should not exceed; a later answer is worth less.
    pub target_latency: Duration,
    /// Priority under overload; 0 is the most urgent.
    pub priority: u32,
    /// Places that it may take: not all if its customer has its share already, or yields to more
    /// urgent requests.
    pub places: Places,
}

/// Upstream chosen for a request, and the estimates that led to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Key of the upstream.
    pub upstream: UpstreamKey,
    /// Expected latency of the answer, in milliseconds.
    pub expected_ms: f64,
    /// Part of the expected latency that the request spends in the upstream's queue.
    pub queue_ms: f64,
    /// Estimate of the requests that the upstream runs or queues.
    pub load: f64,
    /// Age of the newest load report behind the estimate; `None` without a report.
    pub load_age: Option<Duration>,
    /// Whether the upstream is likely to hold the object in its cache.
    pub expects_cache_hit: bool,
    /// Whether the upstream is known to have handled the object recently.
    pub holds_object: bool,
    /// Position of the upstream in the rendezvous order of the object; 0 is the first.
    pub rank: usize,
    /// Upstreams that were passed over because this instance has sent its part of their limits.
    pub at_limit: usize,
    /// Time of the choice.
    pub chosen_at: Instant,
}

/// Result of choosing an upstream for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Selection {
    /// The request should be sent to this upstream.
    Send(Decision),
    /// Even the best upstream would answer too late, or its queue is too long.
    Busy {
        /// Time after which a retry is expected to be accepted.
        retry_after: Duration,
        /// Upstream of the lowest cost.
        decision: Decision,
    },
    /// There is room for the request, but it may not take the place.
    Withheld {
        /// Upstream of the lowest cost.
        decision: Decision,
    },
    /// Every upstream that would accept the request has named a limit, and this instance has sent
    /// its part of it.
    AtLimit {
        /// Time after which this instance may send to one of them.
        retry_after: Duration,
    },
    /// Every upstream that could serve the request has asked to wait, or takes none for another
    /// reason.
    Waiting {
        /// Time until the first of them accepts requests.
        retry_after: Duration,
    },
    /// No upstream of the service accepts requests.
    NoUpstream,
}
