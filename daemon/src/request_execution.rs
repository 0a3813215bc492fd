//! Execution of one request after its key, if any, is claimed: the attempts made so far and the
//! outcome that each one leads to. Zones, upstreams and hedges are in modules of their own.

use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::{InstanceId, UpstreamId};
use laburnumdeal_policy::{PoisonCheck, RetryRequest, ZoneChoice, may_retry};
use tokio::time::Instant;

use crate::attempt::{self, Attempt};
use crate::final_outcome::FinalOutcome;
use crate::heartbeat;
use crate::prepared_request::PreparedRequest;
use crate::queueing::Queueing;
use crate::role::Role;
use crate::state::State;
use crate::trace::TraceRecorder;

/// Maximum number of attempts for one request on one instance.
const MAX_ATTEMPTS: u32 = 4;

/// Minimum time before the deadline that makes another attempt worthwhile.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(2);

/// Retry-after time for a refusal that has none of its own.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Executes a request within the limits of `role` and returns its final outcome.
pub async fn execute(
    state: &Arc<State>,
    prepared: &PreparedRequest,
    role: Role,
    trace: &TraceRecorder,
) -> FinalOutcome {
    let Some(configuration) = state.configuration.active() else {
        return FinalOutcome::not_run(
            "this instance has no configuration yet",
            DEFAULT_RETRY_AFTER,
        );
    };
    state.retry_budget.deposit();
    let mut execution = RequestExecution::new(state, prepared, trace);
    if let Some(refusal) = execution.check_poison() {
        return refusal;
    }
    let final_outcome = match role {
        Role::Entry | Role::Home => execution.try_zones(&configuration).await,
        Role::Zone => execution.try_own_zone_for_peer(&configuration).await,
        Role::Owner => execution.try_own_upstreams(Queueing::Allowed).await,
    };
    final_outcome.unwrap_or_else(|| execution.into_final_outcome())
}

/// State of one request across its attempts.
pub struct RequestExecution<'a> {
    pub(crate) state: &'a Arc<State>,
    pub(crate) prepared: &'a PreparedRequest,
    pub(crate) trace: &'a TraceRecorder,
    pub(crate) attempts: u32,
    pub(crate) tried: Vec<UpstreamId>,
    pub(crate) choices: Vec<ZoneChoice>,
    pub(crate) reason: String,
    pub(crate) min_retry_after: Option<Duration>,
    pub(crate) is_suspect: bool,
    pub(crate) may_have_run: bool,
}

impl<'a> RequestExecution<'a> {
    fn new(state: &'a Arc<State>, prepared: &'a PreparedRequest, trace: &'a TraceRecorder) -> Self {
        Self {
            state,
            prepared,
            trace,
            attempts: 0,
            tried: Vec::new(),
            choices: Vec::new(),
            reason: "no upstream takes work".to_owned(),
            min_retry_after: None,
            is_suspect: false,
            may_have_run: false,
        }
    }

    pub(crate) fn check_poison(&mut self) -> Option<FinalOutcome> {
        match self
            .state
            .in_flight_requests
            .check(self.prepared.fingerprint)
        {
            PoisonCheck::Clear => None,
            PoisonCheck::Suspect => {
                self.is_suspect = true;
                self.trace
                    .record("request", "was in flight at a crash: runs alone");
                None
            }
            PoisonCheck::Refused { retry_after_ms } => {
                let reason = "the request was in flight at two crashes of upstreams";
                self.trace.record("request", reason);
                Some(FinalOutcome::not_run(
                    reason,
                    Duration::from_millis(retry_after_ms),
                ))
            }
        }
    }

    pub(crate) async fn forward_to(
        &mut self,
        peer: InstanceId,
        role: Role,
    ) -> Option<FinalOutcome> {
        self.attempts += 1;
        let name = self.state.topology.instance(peer).name.clone();
        let attempt = attempt::send_to_peer(self.state, self.prepared, peer, role).await;
        let may_have_run = matches!(attempt, Attempt::Unknown { .. });
        match self.conclude_attempt(&name, attempt) {
            None if may_have_run => self.broadcast_crash().await,
            final_outcome => final_outcome,
        }
    }

    /// Returns the final outcome that an attempt leads to, or `None` when another may follow.
    pub(crate) fn conclude_attempt(
        &mut self,
        candidate: &str,
        attempt: Attempt,
    ) -> Option<FinalOutcome> {
        match attempt {
            Attempt::Rejected(response) => {
                self.trace.record(candidate, "rejected the request");
                Some(FinalOutcome::Rejected(response))
            }
            Attempt::Answered(response) => {
                self.trace.record(candidate, "answered");
                Some(FinalOutcome::Answer(response))
            }
            Attempt::NotRun {
                reason,
                retry_after,
                ..
            } => {
                self.trace
                    .record(candidate, format!("did not run: {reason}"));
                self.record_failure(&reason, Some(retry_after));
                None
            }
            Attempt::Unknown { reason } => {
                self.may_have_run = true;
                self.trace
                    .record(candidate, format!("may have run: {reason}"));
                if self.try_acquire_retry() {
                    self.record_failure(&reason, None);
                    return None;
                }
                tokio::spawn(heartbeat::broadcast_crash(
                    self.state.clone(),
                    self.prepared.fingerprint,
                ));
                Some(FinalOutcome::Unknown { reason })
            }
        }
    }

    /// Returns whether a request that may have run may be sent again, and takes the retry from the
    /// retry budget.
    fn try_acquire_retry(&self) -> bool {
        let request = RetryRequest {
            idempotent: self.prepared.idempotent && self.prepared.is_replayable(),
            proof: None,
            attempts: self.attempts,
            max_attempts: MAX_ATTEMPTS,
            deadline: self.prepared.deadline,
            min_attempt: MIN_ATTEMPT_TIME,
        };
        let is_allowed = may_retry(&request, Instant::now()) && self.state.retry_budget.withdraw();
        if is_allowed {
            let service = self.state.topology.service(self.prepared.service);
            self.state.metrics.record_retry(&service.name);
        }
        is_allowed
    }

    pub(crate) fn can_attempt_again(&self) -> bool {
        self.attempts < MAX_ATTEMPTS && self.prepared.remaining() > MIN_ATTEMPT_TIME
    }

    pub(crate) fn record_failure(&mut self, reason: &str, retry_after: Option<Duration>) {
        self.trace.record("path", reason);
        self.reason = reason.to_owned();
        if let Some(retry_after) = retry_after {
            self.min_retry_after =
                Some(self.min_retry_after.map_or(retry_after, |min_retry_after| {
                    min_retry_after.min(retry_after)
                }));
        }
    }

    /// Returns the final outcome once no attempt is left. It is not "not run" if any attempt may
    /// have run.
    fn into_final_outcome(self) -> FinalOutcome {
        if self.may_have_run {
            return FinalOutcome::unknown(self.reason);
        }
        FinalOutcome::not_run(
            self.reason,
            self.min_retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
        )
    }
}
