use serde::{Deserialize, Serialize};

use crate::stored_item::StoredRoute;

/// Rules for forwarding requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "StoredRoute", into = "StoredRoute")]
pub struct RouteItem {
    /// Host in the requests of callers.
    pub host: String,
    /// Prefix of the path; among several routes, the longest matching prefix wins.
    pub path_prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Maximum time that a request may take; its caller's deadline may be shorter.
    pub timeout_ms: u64,
    /// Latency up to which an answer has its full benefit.
    pub target_latency_ms: u64,
    /// Maximum number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Priority when capacity is short; 0 is the most urgent.
    pub priority: u32,
    /// Services with their weights, in thousandths; requests are split in proportion to the
    /// weights.
    pub services: Vec<(String, i64)>,
    /// Regions that may serve the requests; empty for all.
    pub regions: Vec<String>,
    /// Whether upstreams answer faster for objects that they handled recently.
    pub affinity: bool,
    /// Whether the requests need no key of a customer.
    pub is_public: bool,
}

impl RouteItem {
    /// Returns why the values are invalid, without regard to other items.
    pub(crate) fn invalid_reason(&self) -> Option<&'static str> {
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
