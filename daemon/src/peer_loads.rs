use std::sync::Mutex;
use std::time::Duration;

use laburnumdeal_model::{InstanceId, ServiceId};
use laburnumdeal_policy::ServiceLoad;
use tokio::time::Instant;

/// Age from which a load report counts as unknown.
const MAX_REPORT_AGE: Duration = Duration::from_millis(2_000);

/// Latest load reports of other instances for the upstreams that they own.
#[derive(Debug)]
pub struct PeerLoads {
    latest: Mutex<Vec<Option<PeerLoadReport>>>,
}

#[derive(Clone, Debug)]
struct PeerLoadReport {
    services: Vec<ServiceLoad>,
    received_at: Instant,
}

impl PeerLoads {
    /// Creates a store without reports for this many instances.
    pub fn new(instances: usize) -> Self {
        Self {
            latest: Mutex::new(vec![None; instances]),
        }
    }

    /// Stores a report that an instance sent now.
    pub fn store_report(&self, from: InstanceId, services: Vec<ServiceLoad>) {
        let report = PeerLoadReport {
            services,
            received_at: Instant::now(),
        };
        self.latest.lock().expect("no panic while locked")[from.index()] = Some(report);
    }

    /// Returns the load that an instance last reported for a service; `None` when the report is
    /// missing or too old.
    pub fn service_load(&self, of: InstanceId, service: ServiceId) -> Option<ServiceLoad> {
        let latest = self.latest.lock().expect("no panic while locked");
        let report = latest[of.index()].as_ref()?;
        let is_fresh = report.received_at.elapsed() < MAX_REPORT_AGE;
        let mut services = report.services.iter().filter(|_| is_fresh);
        services.find(|load| load.service == service).copied()
    }

    /// Returns the last report of an instance with its age, unless it is too old.
    pub fn latest_report(&self, of: InstanceId) -> Option<(Vec<ServiceLoad>, Duration)> {
        let latest = self.latest.lock().expect("no panic while locked");
        let report = latest[of.index()].as_ref()?;
        let age = report.received_at.elapsed();
        (age < MAX_REPORT_AGE).then(|| (report.services.clone(), age))
    }
}
