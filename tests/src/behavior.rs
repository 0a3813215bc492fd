use std::time::Duration;

use crate::fake_upstream::DEFAULT_DOWNTIME;

/// Configurable behavior of a fake upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Behavior {
    /// Time to serve a request.
    pub latency: Duration,
    /// Minimum size of the response body; shorter bodies are padded.
    pub answer_bytes: usize,
    /// Slots stated in the load report.
    pub slots: u32,
    /// State stated in the load report: "ready", "cold", "leaving" or "failing".
    pub state: &'static str,
    /// In-flight requests stated in the load report instead of the true count.
    pub reported_in_flight: Option<u32>,
    /// Whether requests for the load report fail.
    pub is_load_hidden: bool,
    /// Fault that every request meets.
    pub fault: Option<Fault>,
    /// Part of a path; requests whose path contains it crash the upstream.
    pub poison_path: Option<String>,
    /// Time from a crash until the upstream listens again.
    pub downtime: Duration,
}

/// Fault of a fake upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Rejects the request before running it, with the `x-load-shed` header.
    Shed,
    /// Crashes while the request runs.
    Crash,
    /// Runs the request and never responds.
    Silent,
    /// Sends a body shorter than its `content-length`.
    Truncate,
}

impl Default for Behavior {
    fn default() -> Self {
        Self {
            latency: Duration::ZERO,
            answer_bytes: 0,
            slots: 9,
            state: "ready",
            reported_in_flight: None,
            is_load_hidden: false,
            fault: None,
            poison_path: None,
            downtime: DEFAULT_DOWNTIME,
        }
    }
}
