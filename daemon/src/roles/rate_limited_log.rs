use std::sync::Mutex;
use std::time::Duration;

use slog::{Logger, info};
use tokio::time::Instant;

use crate::roles::node_metrics::NodeMetrics;

/// Limit on log lines per second about requests that did not fail.
const ORDINARY_LINES_PER_S: u32 = 2;

/// Limit on log lines per second about requests that failed.
const FAILURE_LINES_PER_S: u32 = 40;

/// Window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Log of an entry instance with a rate limit on lines about requests. Dropped lines are counted,
/// and their number is logged and exported as a metric.
pub(super) struct RateLimitedLog {
    log: Logger,
    metrics: NodeMetrics,
    window: Mutex<Window>,
}

#[derive(Debug)]
struct Window {
    started_at: Instant,
    ordinary: u32,
    failures: u32,
    dropped: u64,
}

impl RateLimitedLog {
    /// Creates a rate-limited log on top of a logger.
    pub fn new(log: Logger, metrics: NodeMetrics) -> Self {
        Self {
            log,
            metrics,
            window: Mutex::new(Window {
                started_at: Instant::now(),
                ordinary: 0,
                failures: 0,
                dropped: 0,
            }),
        }
    }

    /// Returns the logger for one line about a request, or `None` when the limit of the current
    /// window is used up.
    pub fn limited(&self, is_failure: bool) -> Option<&Logger> {
        let mut window = self.window.lock().expect("no holder panics");
        if window.started_at.elapsed() >= WINDOW {
            if window.dropped > 0 {
                info!(self.log, "log lines dropped by the rate limit"; "lines" => window.dropped);
                self.metrics.count_dropped_lines(window.dropped);
            }
            *window = Window {
                started_at: Instant::now(),
                ordinary: 0,
                failures: 0,
                dropped: 0,
            };
        }
        let (count, limit) = match is_failure {
            true => (&mut window.failures, FAILURE_LINES_PER_S),
            false => (&mut window.ordinary, ORDINARY_LINES_PER_S),
        };
        if *count < limit {
            *count += 1;
            return Some(&self.log);
        }
        window.dropped += 1;
        None
    }

    /// Returns the logger without a limit, for events that are rare.
    pub fn unlimited(&self) -> &Logger {
        &self.log
    }
}
