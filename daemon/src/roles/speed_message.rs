use laburnumdeal_policy::steer::SharedSpeed;
use serde::{Deserialize, Serialize};

/// Report of an entry instance on the speed of upstreams, and question for that of others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedRequest {
    /// Upstreams that answered the sender since its last report.
    pub speeds: Vec<SharedSpeed>,
    /// Only what the receiver learned within this time is requested.
    pub window_ms: u64,
}
