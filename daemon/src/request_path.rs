//! Life of one request after its key is claimed: what has been tried, and what each attempt
//! leads to. Zones, upstreams and hedges are in modules of their own.

use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::{InstanceId, UpstreamId};
use laburnumdeal_policy::{PoisonCheck, RetryRequest, ZoneChoice, may_retry};
use tokio::time::Instant;

use crate::attempt::{self, Attempt};
use crate::heartbeat;
use crate::prepared::Prepared;
use crate::queueing::Queueing;
use crate::role::Role;
use crate::served::Served;
use crate::state::State;
use crate::trace::TraceBuilder;

/// Most attempts for one request on one instance.
const MAX_ATTEMPTS: u32 = 4;

/// Shortest time in which an attempt is worth starting.
const LEAST_ATTEMPT: Duration = Duration::from_millis(2);

/// Time to come back when nothing better is known.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Serves a request as far as `role` allows and returns its final outcome.
pub async fn serve(
    state: &Arc<State>,
    prepared: &Prepared,
    role: Role,
    trace: &TraceBuilder,
) -> Served {
    let Some(in_force) = state.configuration.in_force() else {
        return Served::not_run(
            "this instance has no configuration yet",
            DEFAULT_RETRY_AFTER,
        );
    };
    state.budget.deposit();
    let mut path = RequestPath::new(state, prepared, trace);
    if let Some(refused) = path.check_poison() {
        return refused;
    }
    let ended = match role {
        Role::Entry | Role::Home => path.in_any_zone(&in_force).await,
        Role::Zone => path.in_own_zone_for_peer(&in_force).await,
        Role::Owner => path.on_own_upstreams(Queueing::Allowed).await,
    };
    ended.unwrap_or_else(|| path.given_up())
}

/// What has been tried for one request.
pub struct RequestPath<'a> {
    pub(crate) state: &'a Arc<State>,
    pub(crate) prepared: &'a Prepared,
    pub(crate) trace: &'a TraceBuilder,
    pub(crate) attempts: u32,
    pub(crate) tried: Vec<UpstreamId>,
    pub(crate) choices: Vec<ZoneChoice>,
    pub(crate) reason: String,
    pub(crate) soonest: Option<Duration>,
    pub(crate) is_suspect: bool,
    pub(crate) may_have_run: bool,
}

impl<'a> RequestPath<'a> {
    fn new(state: &'a Arc<State>, prepared: &'a Prepared, trace: &'a TraceBuilder) -> Self {
        Self {
            state,
            prepared,
            trace,
            attempts: 0,
            tried: Vec::new(),
            choices: Vec::new(),
            reason: "no upstream takes work".to_owned(),
            soonest: None,
            is_suspect: false,
            may_have_run: false,
        }
    }

    pub(crate) fn check_poison(&mut self) -> Option<Served> {
        match self.state.flights.check(self.prepared.fingerprint) {
            PoisonCheck::Clear => None,
            PoisonCheck::Suspect => {
                self.is_suspect = true;
                self.trace
                    .step("request", "was in flight at a crash: runs alone");
                None
            }
            PoisonCheck::Refused { retry_after_ms } => {
                let reason = "the request was in flight at two crashes of upstreams";
                self.trace.step("request", reason);
                Some(Served::not_run(
                    reason,
                    Duration::from_millis(retry_after_ms),
                ))
            }
        }
    }

    pub(crate) async fn through(&mut self, peer: InstanceId, role: Role) -> Option<Served> {
        self.attempts += 1;
        let name = self.state.topology.instance(peer).name.clone();
        let attempt = attempt::at_peer(self.state, self.prepared, peer, role).await;
        let may_have_run = matches!(attempt, Attempt::Unknown { .. });
        match self.judge(&name, attempt) {
            None if may_have_run => self.tell_crash().await,
            served => served,
        }
    }

    /// Returns the final outcome that an attempt leads to, or `None` when another may follow.
    pub(crate) fn judge(&mut self, candidate: &str, attempt: Attempt) -> Option<Served> {
        match attempt {
            Attempt::Rejected(response) => {
                self.trace.step(candidate, "rejected the request");
                Some(Served::Rejected(response))
            }
            Attempt::Answered(response) => {
                self.trace.step(candidate, "answered");
                Some(Served::Answer(response))
            }
            Attempt::NotRun {
                reason,
                retry_after,
                ..
            } => {
                self.trace.step(candidate, format!("did not run: {reason}"));
                self.note(&reason, Some(retry_after));
                None
            }
            Attempt::Unknown { reason } => {
                self.may_have_run = true;
                self.trace
                    .step(candidate, format!("may have run: {reason}"));
                if self.may_repeat() {
                    self.note(&reason, None);
                    return None;
                }
                tokio::spawn(heartbeat::tell_crash(
                    self.state.clone(),
                    self.prepared.fingerprint,
                ));
                Some(Served::Unknown { reason })
            }
        }
    }

    /// Returns whether a request that may have run may be sent again, and pays for it.
    fn may_repeat(&self) -> bool {
        let request = RetryRequest {
            idempotent: self.prepared.idempotent && self.prepared.is_replayable(),
            proof: None,
            attempts: self.attempts,
            max_attempts: MAX_ATTEMPTS,
            deadline: self.prepared.deadline,
            min_attempt: LEAST_ATTEMPT,
        };
        let may = may_retry(&request, Instant::now()) && self.state.budget.withdraw();
        if may {
            let service = self.state.topology.service(self.prepared.service);
            self.state.metrics.retried(&service.name);
        }
        may
    }

    pub(crate) fn may_go_on(&self) -> bool {
        self.attempts < MAX_ATTEMPTS && self.prepared.remaining() > LEAST_ATTEMPT
    }

    pub(crate) fn note(&mut self, reason: &str, retry_after: Option<Duration>) {
        self.trace.step("path", reason);
        self.reason = reason.to_owned();
        if let Some(after) = retry_after {
            self.soonest = Some(self.soonest.map_or(after, |soonest| soonest.min(after)));
        }
    }

    /// Returns the outcome when nothing is left to try. An attempt that may have run keeps it from
    /// being "not run".
    fn given_up(self) -> Served {
        if self.may_have_run {
            return Served::unknown(self.reason);
        }
        Served::not_run(self.reason, self.soonest.unwrap_or(DEFAULT_RETRY_AFTER))
    }
}
