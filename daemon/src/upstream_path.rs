//! The way of a request to the upstreams that this instance owns: slots, attempts, crashes.

use std::time::Duration;

use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::{PoisonCheck, Slot};

use crate::attempt::Attempt;
use crate::fault_points::FaultPoint;
use crate::heartbeat;
use crate::queueing::Queueing;
use crate::request_path::{DEFAULT_RETRY_AFTER, RequestPath};
use crate::served::Served;

/// Pause before a suspect of a crash looks again for an upstream on which no other runs.
const SUSPECT_PAUSE: Duration = Duration::from_millis(10);

/// Longest time for telling other instances of a request that was in flight at a crash.
const CRASH_TOLD: Duration = Duration::from_millis(300);

impl RequestPath<'_> {
    /// Tries upstreams that this instance owns until one answers or none is left.
    pub(crate) async fn on_own_upstreams(&mut self, queueing: Queueing) -> Option<Served> {
        while self.may_go_on() {
            let slot = self.slot(queueing).await?;
            let upstream = slot.upstream();
            if self.would_be_cut_off() {
                self.note("the request cannot finish before its deadline", None);
                return None;
            }
            if !self.may_run_here(upstream) {
                drop(slot);
                self.note(
                    "another suspect of a crash runs there",
                    Some(DEFAULT_RETRY_AFTER),
                );
                tokio::time::sleep(SUSPECT_PAUSE).await;
                continue;
            }
            self.tried.push(upstream);
            self.attempts += 1;
            self.state.fault_points.pause_at(FaultPoint::Chosen).await;
            let (name, attempt) = self.with_hedge(slot).await;
            let may_have_run = matches!(attempt, Attempt::Unknown { .. });
            if let Some(served) = self.judge(&name, attempt) {
                return Some(served);
            }
            if may_have_run && let Some(refused) = self.tell_crash().await {
                return Some(refused);
            }
        }
        None
    }

    /// After a crash, tells every instance of the request before it runs again, so that nobody
    /// else tries it unawares. Returns the final outcome when it may not run again.
    pub(crate) async fn tell_crash(&mut self) -> Option<Served> {
        if self.state.flights.check(self.prepared.fingerprint) == PoisonCheck::Clear {
            return None;
        }
        heartbeat::tell_all(self.state, CRASH_TOLD).await;
        self.check_poison()
            .map(|_| Served::unknown("the request was in flight at two crashes of upstreams"))
    }

    async fn slot(&mut self, queueing: Queueing) -> Option<Slot> {
        let (pool, service) = (&self.state.pool, self.prepared.service);
        if queueing == Queueing::Refused {
            let slot = pool.try_acquire(service, &self.tried);
            if slot.is_none() {
                self.note("own upstreams have no room", None);
            }
            return slot;
        }
        let acquired = tokio::select! {
            acquired = pool.acquire(service, self.prepared.deadline, &self.tried) => acquired,
            // Whoever takes the upstreams over has a queue too.
            () = self.state.left(), if !self.owners().is_empty() => {
                self.note("this instance is leaving", None);
                return None;
            }
        };
        match acquired {
            Ok(slot) => Some(slot),
            Err(refused) => {
                self.note(&refused.reason.to_string(), Some(refused.retry_after));
                None
            }
        }
    }

    /// Returns whether the request is likely to be cut off by its deadline: it would take a
    /// slot from others for nothing, and its outcome would be unknown.
    fn would_be_cut_off(&self) -> bool {
        let tail_latency = self.state.pool.tail_latency(self.prepared.service);
        tail_latency.is_some_and(|time| time > self.prepared.remaining())
    }

    fn may_run_here(&self, upstream: UpstreamId) -> bool {
        !self.is_suspect
            || self
                .state
                .flights
                .start_suspect(self.prepared.fingerprint, upstream)
    }
}
