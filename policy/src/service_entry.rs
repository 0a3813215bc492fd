use std::collections::VecDeque;
use std::time::Duration;

use laburnumdeal_model::UpstreamId;

use crate::latency_window::LatencyWindow;
use crate::service_time::ServiceTime;
use crate::waiter::Waiter;

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
}
