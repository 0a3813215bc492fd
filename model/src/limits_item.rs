use serde::{Deserialize, Serialize};

/// Limits on the size of callers' requests, on the time for their heads, and on idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitsItem {
    /// Maximum length of the head of a request.
    pub max_head_bytes: u64,
    /// Maximum length of the body of a request.
    pub max_body_bytes: u64,
    /// Time within which the head of a request must arrive.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed.
    pub idle_timeout_ms: u64,
}

impl Default for LimitsItem {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
