use std::sync::Mutex;
use std::time::Duration;

use slog::{Logger, info};
use tokio::time::Instant;

use crate::roles::node_metrics::NodeMetrics;

/// Lines a second about requests that ended as usual.
const ORDINARY_PER_S: u32 = 2;

/// Lines a second about requests that failed.
const FAILURES_PER_S: u32 = 40;

/// Period over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);

/// Log of decisions about requests, with a bound on its lines. What is left out is counted, and
/// the count is logged.
pub(super) struct RateLimitedLog {
    log: Logger,
    metrics: NodeMetrics,
    period: Mutex<Period>,
}

#[derive(Debug)]
struct Period {
    began_at: Instant,
    ordinary: u32,
    failures: u32,
    left_out: u64,
}

impl RateLimitedLog {
    /// Returns a bounded log on top of another.
    pub fn new(log: Logger, metrics: NodeMetrics) -> Self {
        Self {
            log,
            metrics,
            period: Mutex::new(Period {
                began_at: Instant::now(),
                ordinary: 0,
                failures: 0,
                left_out: 0,
            }),
        }
    }

    /// Returns the log when a line about a request fits, and counts it.
    pub fn line(&self, is_failure: bool) -> Option<&Logger> {
        let mut period = self.period.lock().expect("no holder panics");
        if period.began_at.elapsed() >= PERIOD {
            if period.left_out > 0 {
                info!(self.log, "lines left out"; "lines" => period.left_out);
                self.metrics.left_out(period.left_out);
            }
            *period = Period {
                began_at: Instant::now(),
                ordinary: 0,
                failures: 0,
                left_out: 0,
            };
        }
        let (count, most) = match is_failure {
            true => (&mut period.failures, FAILURES_PER_S),
            false => (&mut period.ordinary, ORDINARY_PER_S),
        };
        if *count < most {
            *count += 1;
            return Some(&self.log);
        }
        period.left_out += 1;
        None
    }

    /// Returns the log for lines that are rare by themselves.
    pub fn rare(&self) -> &Logger {
        &self.log
    }
}
