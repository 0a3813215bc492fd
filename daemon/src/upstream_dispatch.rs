//! Dispatch of a request to the upstreams that this instance owns: slots, attempts, crashes.

use std::time::Duration;

use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::{PoisonCheck, Slot};

use crate::attempt::Attempt;
use crate::fault_points::FaultPoint;
use crate::final_outcome::FinalOutcome;
use crate::heartbeat;
use crate::queueing::Queueing;
use crate::request_execution::{DEFAULT_RETRY_AFTER, RequestExecution};

/// Delay before a request that is suspected of a crash looks again for an upstream on which no
/// other suspect runs.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Timeout for telling the other instances of a request that was in flight at a crash.
const CRASH_BROADCAST_TIMEOUT: Duration = Duration::from_millis(300);

impl RequestExecution<'_> {
    /// Tries the upstreams that this instance owns until one answers or none is left.
    pub(crate) async fn try_own_upstreams(&mut self, queueing: Queueing) -> Option<FinalOutcome> {
        while self.can_attempt_again() {
            let slot = self.acquire_slot(queueing).await?;
            let upstream = slot.upstream();
            if self.would_miss_deadline() {
                self.record_failure("the request cannot finish before its deadline", None);
                return None;
            }
            if !self.may_run_on(upstream) {
                drop(slot);
                self.record_failure(
                    "another suspect of a crash runs there",
                    Some(DEFAULT_RETRY_AFTER),
                );
                tokio::time::sleep(SUSPECT_RETRY_DELAY).await;
                continue;
            }
            self.tried.push(upstream);
            self.attempts += 1;
            self.state.fault_points.pause_at(FaultPoint::Chosen).await;
            let (name, attempt) = self.attempt_with_hedge(slot).await;
            let may_have_run = matches!(attempt, Attempt::Unknown { .. });
            if let Some(final_outcome) = self.conclude_attempt(&name, attempt) {
                return Some(final_outcome);
            }
            if may_have_run && let Some(refusal) = self.broadcast_crash().await {
                return Some(refusal);
            }
        }
        None
    }

    /// After a crash, tells every instance of the request before it runs again, so that no other
    /// instance runs it without knowing of the crash. Returns the final outcome when the request
    /// may not run again.
    pub(crate) async fn broadcast_crash(&mut self) -> Option<FinalOutcome> {
        if self
            .state
            .in_flight_requests
            .check(self.prepared.fingerprint)
            == PoisonCheck::Clear
        {
            return None;
        }
        heartbeat::broadcast(self.state, CRASH_BROADCAST_TIMEOUT).await;
        self.check_poison()
            .map(|_| FinalOutcome::unknown("the request was in flight at two crashes of upstreams"))
    }

    async fn acquire_slot(&mut self, queueing: Queueing) -> Option<Slot> {
        let (pool, service) = (&self.state.pool, self.prepared.service);
        if queueing == Queueing::Refused {
            let slot = pool.try_acquire(service, &self.tried);
            if slot.is_none() {
                self.record_failure("own upstreams have no room", None);
            }
            return slot;
        }
        let acquired = tokio::select! {
            acquired = pool.acquire(service, self.prepared.deadline, &self.tried) => acquired,
            // The instances that take over the upstreams have queues too.
            () = self.state.wait_until_leaving(), if !self.other_owners().is_empty() => {
                self.record_failure("this instance is leaving", None);
                return None;
            }
        };
        match acquired {
            Ok(slot) => Some(slot),
            Err(refusal) => {
                self.record_failure(&refusal.reason.to_string(), Some(refusal.retry_after));
                None
            }
        }
    }

    /// Returns whether the request is likely to miss its deadline: it would occupy a slot in vain,
    /// and its outcome would be unknown.
    fn would_miss_deadline(&self) -> bool {
        let tail_latency = self.state.pool.tail_latency(self.prepared.service);
        tail_latency.is_some_and(|time| time > self.prepared.remaining())
    }

    fn may_run_on(&self, upstream: UpstreamId) -> bool {
        !self.is_suspect
            || self
                .state
                .in_flight_requests
                .start_suspect(self.prepared.fingerprint, upstream)
    }
}
