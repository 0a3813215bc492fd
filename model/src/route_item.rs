use serde::{Deserialize, Serialize};

/// How requests for one host and path prefix are forwarded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteItem {
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path; the longest one that fits decides.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a request is kept waiting.
    pub timeout_ms: u64,
    /// Time within which an answer is worth its full benefit.
    pub target_latency_ms: u64,
    /// Most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Rank when room is short; 0 is the most urgent.
    pub priority: u32,
    /// Services with the weights, in thousandths, by which requests are split between them.
    pub services: Vec<(String, i64)>,
    /// Regions that may serve it; empty for all.
    pub regions: Vec<String>,
    /// Whether upstreams work faster on objects that they handled a short while ago.
    pub affinity: bool,
}

impl RouteItem {
    /// Returns what is wrong with the values by themselves.
    pub(crate) fn fault(&self) -> Option<&'static str> {
        let weights = self.services.iter().map(|(_, weight)| *weight);
        if self.timeout_ms == 0 {
            return Some("the timeout is 0");
        }
        if self.max_attempts == 0 {
            return Some("the number of attempts is 0");
        }
        if weights.clone().any(|weight| weight < 0) {
            return Some("a weight is below 0");
        }
        if weights.sum::<i64>() <= 0 {
            return Some("the weights add up to 0");
        }
        if !self.path_prefix.starts_with('/') || !self.path_prefix.ends_with('/') {
            return Some("the path prefix does not begin and end with a slash");
        }
        None
    }
}
