use std::sync::Mutex;

use laburnumdeal_policy::steer::{CrashOutbox, CrashReport};
use tokio::sync::Notify;
use tokio::time::Instant;

/// Reports that wait to be sent.
#[derive(Debug, Default)]
pub(super) struct CrashQueue {
    outbox: Mutex<CrashOutbox>,
    added: Notify,
}

impl CrashQueue {
    /// Adds reports.
    pub fn add(&self, reports: impl IntoIterator<Item = CrashReport>) {
        let now = Instant::now();
        let mut outbox = self.outbox.lock().expect("no holder panics");
        for report in reports {
            // Polls carry what there is no room for.
            let _ = outbox.add(report, now);
        }
        drop(outbox);
        self.added.notify_one();
    }

    /// Waits for reports and returns them.
    pub async fn take(&self) -> Vec<CrashReport> {
        loop {
            let now = Instant::now();
            let reports = self.outbox.lock().expect("no holder panics").take(now);
            if !reports.is_empty() {
                return reports;
            }
            self.added.notified().await;
        }
    }
}
