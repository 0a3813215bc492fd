use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use laburnumdeal_policy::steer::{Decision, RequestContext, Route, Selection, UpstreamKey};
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::roles::HeaderCodec;
use crate::roles::buffered_body::BufferedBody;
use crate::roles::crash_reports::CrashReport;
use crate::roles::entry_state::EntryState;
use crate::roles::upstream_attempt::{self, AttemptRequest, AttemptResult};

/// Attempts without an arrival at an upstream that one request makes at most.
const UNREACHED_ATTEMPTS: usize = 6;

/// Time to come back when no upstream takes work.
const NO_UPSTREAM_PAUSE: Duration = Duration::from_millis(400);

/// Time in which an upstream whose connection broke shows whether it still listens.
const CRASH_PROBE: Duration = Duration::from_millis(150);

/// Final outcome of a request, as this instance tells it.
pub(super) enum Forwarded {
    /// The answer of an upstream.
    Answer(Response<AnswerBody>),
    /// The request did not run and never will.
    NotRun {
        /// Why.
        reason: &'static str,
        /// When it is worth returning.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Why.
        reason: &'static str,
        /// Whether the time ran out.
        timed_out: bool,
    },
}

/// One request on its way to upstreams.
pub(super) struct Forwarding<'a> {
    pub state: &'a Arc<EntryState>,
    pub route: &'a Route,
    pub service: &'a str,
    pub request: AttemptRequest,
    pub body: BufferedBody,
    pub max_body_bytes: u64,
    pub fingerprint: u64,
    pub began_at: Instant,
    /// What has become of it so far.
    pub progress: Progress,
}

/// What has become of a request so far.
#[derive(Default)]
pub(super) struct Progress {
    tried: Vec<UpstreamKey>,
    arrivals: u32,
    ran_maybe: Option<(&'static str, bool)>,
    failure: Option<Response<AnswerBody>>,
    last: Option<Decision>,
}

impl Progress {
    /// Returns how many upstreams the request was sent to.
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// Returns the estimates behind the last choice.
    pub fn last(&self) -> Option<Decision> {
        self.last
    }
}

impl Forwarding<'_> {
    /// Sends the request until an upstream answers, or nothing more can be done for it.
    pub async fn run<H: HeaderCodec>(&mut self) -> Forwarded {
        self.state.earn_retry(self.service);
        loop {
            let decision = match self.choose() {
                Selection::Send(decision) => decision,
                Selection::Busy {
                    retry_after,
                    decision,
                } => {
                    self.progress.last = Some(decision);
                    return self.give_up("every upstream is busy", retry_after);
                }
                Selection::NoUpstream => {
                    return self.give_up("no upstream takes work", NO_UPSTREAM_PAUSE);
                }
            };
            if self.progress.arrivals > 0 && !self.state.spend_retry(self.service) {
                return self.give_up("no retry is left to spend", NO_UPSTREAM_PAUSE);
            }
            self.progress.last = Some(decision);
            if let Some(forwarded) = self.attempt::<H>(decision).await {
                return forwarded;
            }
        }
    }

    fn choose(&self) -> Selection {
        let now = Instant::now();
        let ask = RequestContext {
            route: &self.route.name,
            service: self.service,
            object: self.request.object,
            regions: &self.route.item.regions,
            tried: &self.progress.tried,
            time_left: self.request.deadline.saturating_duration_since(now),
            elapsed: now.saturating_duration_since(self.began_at),
            target_latency: Duration::from_millis(self.route.item.target_latency_ms),
            priority: self.route.item.priority,
        };
        self.state.book().choose(&ask, now)
    }

    /// Makes one attempt; returns the outcome of the request when there is no other to make.
    async fn attempt<H: HeaderCodec>(&mut self, decision: Decision) -> Option<Forwarded> {
        let body = self.body.take(self.max_body_bytes);
        let repeatable = self.body.can_repeat();
        let is_retry = self.progress.arrivals > 0;
        let result =
            upstream_attempt::run::<H>(self.state, decision, &self.route.name, &self.request, body)
                .await;
        self.progress.tried.push(decision.upstream);
        let outcome = match &result {
            AttemptResult::Answer(_) => "answer",
            AttemptResult::NotRun { .. } => "not-run",
            AttemptResult::Unknown { .. } => "unknown",
        };
        self.state.metrics.attempt(self.service, outcome);
        match result {
            AttemptResult::Answer(response) => self.answered(response, repeatable),
            AttemptResult::NotRun { reason, arrived } => {
                self.count_arrival(arrived, is_retry);
                self.not_run(reason, repeatable)
            }
            AttemptResult::Unknown {
                reason,
                timed_out,
                broke,
            } => {
                self.count_arrival(true, is_retry);
                if broke {
                    suspect_crash(self.state, decision.upstream, self.fingerprint).await;
                }
                self.unknown(reason, timed_out, repeatable)
            }
        }
    }

    fn answered(&mut self, response: Response<AnswerBody>, repeatable: bool) -> Option<Forwarded> {
        let is_retry = self.progress.arrivals > 0;
        self.count_arrival(true, is_retry);
        let failed = response.status() == StatusCode::INTERNAL_SERVER_ERROR;
        if failed && self.may_repeat(repeatable) {
            self.progress.failure = Some(response);
            return None;
        }
        Some(Forwarded::Answer(response))
    }

    fn not_run(&mut self, reason: &'static str, repeatable: bool) -> Option<Forwarded> {
        let unreached = self.progress.tried.len() - self.progress.arrivals as usize;
        if !repeatable
            || unreached >= UNREACHED_ATTEMPTS
            || self.progress.arrivals >= self.route.item.max_attempts
        {
            return Some(self.give_up(reason, NO_UPSTREAM_PAUSE));
        }
        None
    }

    fn unknown(
        &mut self,
        reason: &'static str,
        timed_out: bool,
        repeatable: bool,
    ) -> Option<Forwarded> {
        self.progress.ran_maybe = Some((reason, timed_out));
        if timed_out || !self.may_repeat(repeatable) {
            return Some(Forwarded::Unknown { reason, timed_out });
        }
        None
    }

    fn may_repeat(&self, repeatable: bool) -> bool {
        repeatable
            && self.request.idempotent
            && self.progress.arrivals < self.route.item.max_attempts
    }

    fn count_arrival(&mut self, arrived: bool, is_retry: bool) {
        if !arrived {
            return;
        }
        self.progress.arrivals += 1;
        if is_retry {
            self.state.metrics.retried(self.service);
        }
    }

    /// Returns the outcome when no further attempt is made.
    fn give_up(&mut self, reason: &'static str, retry_after: Duration) -> Forwarded {
        if let Some(response) = self.progress.failure.take() {
            return Forwarded::Answer(response);
        }
        match self.progress.ran_maybe {
            Some((reason, timed_out)) => Forwarded::Unknown { reason, timed_out },
            None => Forwarded::NotRun {
                reason,
                retry_after,
            },
        }
    }
}

/// Marks a request when the upstream that it ran on no longer listens.
async fn suspect_crash(state: &EntryState, upstream: UpstreamKey, fingerprint: u64) {
    let address = state.book().endpoint(upstream).1;
    let connecting = tokio::net::TcpStream::connect(address);
    if let Ok(Err(_)) = tokio::time::timeout(CRASH_PROBE, connecting).await {
        let mark = CrashReport {
            fingerprint,
            crash: rand::random(),
        };
        let mut crashes = state.crashes.lock().expect("no holder panics");
        crashes.add(&[mark], Instant::now());
    }
}
