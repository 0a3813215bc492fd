use std::time::Duration;

use crate::fake_upstream::DEFAULT_DOWNTIME;

/// How a fake upstream behaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Behavior {
    /// Time that a request takes.
    pub latency: Duration,
    /// Shortest answer body.
    pub answer_bytes: usize,
    /// Slots that the load report names.
    pub slots: u32,
    /// State that the load report names: "ready", "cold", "leaving" or "failing".
    pub state: &'static str,
    /// Requests in flight that the load report claims, in place of the true number.
    pub reported_in_flight: Option<u32>,
    /// Whether the load report is missing.
    pub is_load_hidden: bool,
    /// What goes wrong with every request.
    pub fault: Option<Fault>,
    /// Part of a path whose requests crash the upstream.
    pub poison_path: Option<String>,
    /// Time that the upstream stays down after a crash.
    pub downtime: Duration,
}

/// What goes wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Refused before any of it ran, with the header that says so.
    Shed,
    /// The upstream crashes while it runs.
    Crash,
    /// It runs and no answer ever comes.
    Silent,
    /// The answer is shorter than its head says.
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
