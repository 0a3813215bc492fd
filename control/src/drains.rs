use std::sync::Arc;
use std::sync::atomic::Ordering;

use laburnumdeal_model::{Change, Configuration, Drain, Submission, Target, WHOLE_PERMILLE};
use tokio::sync::oneshot;
use tokio::time::{Duration, sleep};

use crate::core::Core;
use crate::decider::LEADER_OPERATOR;
use crate::proposals::{Command, Proposal};
use crate::{Disk, PeerLink};

/// Interval between two checks for due drain steps.
const DRAIN_CHECK_INTERVAL_MS: u64 = 250;

impl<L: PeerLink, D: Disk> Core<L, D> {
    /// Submits the drain steps that are due, and ends the drains whose period has passed, while
    /// this replica leads and drains are not paused.
    pub async fn run_drains(self: Arc<Self>) {
        loop {
            sleep(Duration::from_millis(DRAIN_CHECK_INTERVAL_MS)).await;
            for submission in self.due_submissions() {
                self.submit_due(submission).await;
            }
        }
    }

    fn due_submissions(&self) -> Vec<Submission> {
        let volatile = self.volatile();
        if self.drains_paused.load(Ordering::Relaxed) || !self.has_lease(&volatile) {
            return Vec::new();
        }
        let now_ms = (self.settings.now_ms)().max(volatile.state.at_ms);
        let configuration = &volatile.state.configuration;
        let first_index = volatile.last_index() + 1;
        let changes = due_changes(configuration, now_ms);
        changes
            .into_iter()
            .zip(first_index..)
            .map(|(change, index)| Submission {
                command_id: format!("{LEADER_OPERATOR}-{index}")
                    .parse()
                    .expect("a valid command id"),
                operator: LEADER_OPERATOR.to_owned(),
                base: None,
                at_ms: now_ms,
                force: true,
                dry_run: false,
                change,
            })
            .collect()
    }

    async fn submit_due(&self, submission: Submission) {
        let (reply, answer) = oneshot::channel();
        let command = Command { submission, reply };
        if self
            .proposals
            .send(Proposal::Command(command))
            .await
            .is_ok()
        {
            // A change that was not committed is still due at the next check.
            let _ = answer.await;
        }
    }
}

/// Returns the due changes: at most one step for each drain, or its end once its period has passed.
pub(crate) fn due_changes(configuration: &Configuration, now_ms: u64) -> Vec<Change> {
    let drains = configuration.drains.iter();
    drains
        .filter_map(|(target, drain)| due_change(target, drain, now_ms))
        .collect()
}

fn due_change(target: &Target, drain: &Drain, now_ms: u64) -> Option<Change> {
    let is_over = drain.for_ms > 0 && now_ms >= drain.at_ms.saturating_add(drain.for_ms);
    if is_over {
        return Some(Change::Undrain {
            target: target.clone(),
        });
    }
    let due_ms = drain
        .stepped_at_ms
        .saturating_add(drain.every_ms)
        .max(drain.at_ms);
    if drain.moved_permille >= WHOLE_PERMILLE || now_ms < due_ms {
        return None;
    }
    let moved_permille = drain.moved_permille.saturating_add(drain.step_permille);
    Some(Change::DrainStep {
        target: target.clone(),
        moved_permille: moved_permille.min(WHOLE_PERMILLE),
    })
}
