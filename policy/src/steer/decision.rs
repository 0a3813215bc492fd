use std::time::Duration;

use crate::steer::UpstreamKey;

/// Request for which an upstream is chosen.
#[derive(Clone, Copy, Debug)]
pub struct RequestContext<'a> {
    /// Route that it came by.
    pub route: &'a str,
    /// Service that it goes to.
    pub service: &'a str,
    /// Hash of the object that it concerns.
    pub object: u64,
    /// Regions that may serve it; empty for all.
    pub regions: &'a [String],
    /// Upstreams that it was sent to before.
    pub tried: &'a [UpstreamKey],
    /// Time that is left.
    pub time_left: Duration,
    /// Time since the request began.
    pub elapsed: Duration,
    /// Time within which an answer is worth its full benefit.
    pub target_latency: Duration,
    /// Rank when room is short; 0 is the most urgent.
    pub priority: u32,
}

/// Upstream for a request with the estimates behind it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Upstream.
    pub upstream: UpstreamKey,
    /// Expected time until the answer.
    pub expected_ms: f64,
    /// Part of the expected time spent in the upstream's queue.
    pub queue_ms: f64,
    /// Requests expected at the upstream.
    pub load: f64,
    /// Age of what the upstream told of its load; `None` when it told nothing.
    pub load_age: Option<Duration>,
    /// Whether the upstream is likely to know the object.
    pub expects_cache_hit: bool,
    /// Place of the upstream among those for the object.
    pub rank: usize,
}

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Selection {
    /// It is sent.
    Send(Decision),
    /// No upstream can answer in time, or the queues are better kept short.
    Busy {
        /// Time after which there should be room.
        retry_after: Duration,
        /// Best choice that there was.
        decision: Decision,
    },
    /// No upstream of the service takes work.
    NoUpstream,
}
