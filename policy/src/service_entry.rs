use std::collections::VecDeque;
use std::time::Duration;

use laburnumdeal_model::UpstreamId;

use crate::latency_window::LatencyWindow;
use crate::queued_request::QueuedRequest;
use crate::service_latency::ServiceLatency;

/// Quantile of the latency that counts as the tail latency. One in twenty of the requests that are
/// sent with only this much time left may miss its deadline.
const TAIL_QUANTILE: f64 = 0.95;

/// Upstreams, queue and latencies of one service.
#[derive(Clone, Debug)]
pub(crate) struct ServiceEntry {
    pub members: Vec<UpstreamId>,
    pub queue: VecDeque<QueuedRequest>,
    pub latency: ServiceLatency,
    pub recent_latencies: LatencyWindow,
}

impl ServiceEntry {
    /// Creates a service without upstreams.
    pub fn empty(initial_latency: Duration) -> Self {
        Self {
            members: Vec::new(),
            queue: VecDeque::new(),
            latency: ServiceLatency::new(initial_latency),
            recent_latencies: LatencyWindow::new(),
        }
    }

    /// Returns the 95th percentile of the recent latencies, but at least their mean.
    pub fn tail_latency(&self) -> Duration {
        let tail = self
            .recent_latencies
            .quantile(TAIL_QUANTILE)
            .unwrap_or_default();
        tail.max(self.latency.mean())
    }
}
