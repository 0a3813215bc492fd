use tokio::time::Instant;

use crate::steer::CrashReport;

/// Limit on the reports that wait to be sent. Reports beyond it are sent with the next poll, which
/// carries all that the receiver lacks.
const MAX_REPORTS: usize = 512;

/// New crash reports that wait to be sent to other instances, ahead of the next poll.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use laburnumdeal_policy::steer::{CrashOutbox, CrashReport};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut outbox = CrashOutbox::default();
/// outbox.add(CrashReport::new(7, 1), now);
/// let sent = outbox.take(now + Duration::from_millis(80));
/// assert_eq!((sent.len(), sent[0].age_ms), (1, 80));
/// assert!(outbox.take(now).is_empty(), "each report is sent once");
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashOutbox {
    reports: Vec<(CrashReport, Instant)>,
}

impl CrashOutbox {
    /// Adds a report, whose ages are those at `now`. Returns whether there was room for it.
    pub fn add(&mut self, report: CrashReport, now: Instant) -> bool {
        let has_room = self.reports.len() < MAX_REPORTS;
        if has_room {
            self.reports.push((report, now));
        }
        has_room
    }

    /// Returns all reports, with their ages at `now`, and empties the outbox.
    pub fn take(&mut self, now: Instant) -> Vec<CrashReport> {
        let reports = std::mem::take(&mut self.reports).into_iter();
        let aged = reports.map(|(report, added_at)| {
            let waited_ms = now.saturating_duration_since(added_at).as_millis() as u64;
            CrashReport {
                age_ms: report.age_ms + waited_ms,
                unused_ms: report.unused_ms + waited_ms,
                ..report
            }
        });
        aged.collect()
    }
}
