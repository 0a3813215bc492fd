use serde::{Deserialize, Serialize};

/// Bounds on what a caller may send, and on how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitsItem {
    /// Longest head of a request.
    pub max_head_bytes: u64,
    /// Longest body of a request.
    pub max_body_bytes: u64,
    /// Time in which the head of a request must arrive.
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
