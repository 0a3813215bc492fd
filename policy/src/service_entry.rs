use std::collections::VecDeque;
use std::time::Duration;

use laburnumdeal_model::UpstreamId;

use crate::latency_window::LatencyWindow;
use crate::service_time::ServiceTime;
use crate::waiter::Waiter;

/// Share of answers that come within the usual time; one request in twenty may be cut off.
const TAIL_QUANTILE: f64 = 0.95;

/// Everything that is known about one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceEntry {
    pub members: Vec<UpstreamId>,
    pub queue: VecDeque<Waiter>,
    pub time: ServiceTime,
    pub window: LatencyWindow,
}

impl ServiceEntry {
    /// Returns a service without upstreams.
    pub fn empty(service_time: Duration) -> Self {
        Self {
            members: Vec::new(),
            queue: VecDeque::new(),
            time: ServiceTime::new(service_time),
            window: LatencyWindow::new(),
        }
    }

    /// Returns the time within which nearly every request ends once it runs.
    pub fn tail_latency(&self) -> Duration {
        let usual = self.window.quantile(TAIL_QUANTILE).unwrap_or_default();
        usual.max(self.time.mean())
    }
}
