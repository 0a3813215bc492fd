use std::sync::Arc;
use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, Response, StatusCode};
use laburnumdeal_policy::customers::{
    BootTime, CallerTerms, Customer, FairClass, FairCustomer, FairRefusal,
};
use laburnumdeal_policy::steer::{
    Decision, Places, RequestContext, Route, Selection, UpstreamKey, spread_delay,
};
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::roles::HeaderCodec;
use crate::roles::buffered_body::BufferedBody;
use crate::roles::crash_checks;
use crate::roles::entry_state::EntryState;
use crate::roles::helper_request::{self, HelperResult};
use crate::roles::upstream_attempt::{self, AttemptRequest, AttemptResult};

/// Limit on the attempts of one request that do not reach an upstream.
const MAX_UNREACHED_ATTEMPTS: usize = 6;

/// Limit on the other entry instances that one request is sent to.
const MAX_HELPERS: usize = 3;

/// Default retry delay for a request that is given up without an answer.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Reason for refusing a request during a planned stop.
const STOPPING_REASON: &str = "the instance stops before the request's time limit";

/// Retry delay for a request that arrives too late in a planned stop; other instances take it.
const STOPPING_RETRY_AFTER: Duration = Duration::ZERO;

/// Reason for refusing a request that crashed upstreams.
pub(super) const BLOCKED_REASON: &str = "the request crashed upstreams before";

/// Retry delay for a request that is blocked because it crashed upstreams.
pub(super) const BLOCKED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Longest time for which a further attempt waits for the check whether the upstream of the last one
/// crashed.
const CRASH_CHECK_WAIT: Duration = Duration::from_millis(150);

/// Final outcome of a request.
pub(super) enum ForwardOutcome {
    /// The answer of an upstream.
    Answer(Response<AnswerBody>),
    /// The request did not run and will not run.
    NotRun {
        /// Reason, for the caller and the log.
        reason: &'static str,
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Reason, for the caller and the log.
        reason: &'static str,
        /// Whether the cause is a timeout.
        timed_out: bool,
    },
}

/// One request that is being forwarded, in one or several attempts.
pub(super) struct Forwarding<'a> {
    pub state: &'a Arc<EntryState>,
    pub route: &'a Route,
    pub service: &'a str,
    pub terms: &'a CallerTerms<'a>,
    /// Customer that sent it; `None` if it needs no key.
    pub customer: Option<&'a Customer>,
    pub request: AttemptRequest,
    pub body: BufferedBody,
    pub started_at: Instant,
    /// Results of the attempts so far.
    pub progress: Progress,
    pub origin: Origin,
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// A caller.
    Caller,
    /// Another entry instance, which has lost the upstreams.
    Instance {
        /// Whether it has checked whose request it is, and names the customer.
        has_checked: bool,
    },
}

impl Origin {
    /// Returns whether nobody has checked yet whose request it is.
    pub fn is_unchecked(self) -> bool {
        self != Self::Instance { has_checked: true }
    }
}

/// Results of the attempts of a request so far.
#[derive(Default)]
pub(super) struct Progress {
    tried: Vec<UpstreamKey>,
    arrivals: u32,
    /// Reason why the request may have run, and whether it is a timeout.
    unknown_outcome: Option<(&'static str, bool)>,
    /// Answer with status 500 to an earlier attempt, returned if no further attempt is made.
    failure: Option<Response<AnswerBody>>,
    last_decision: Option<Decision>,
    /// Whether the share of the request was deposited in the retry budget.
    has_deposited: bool,
    /// Name of the last other instance that the request was sent to.
    helper: Option<String>,
    /// Whether the request was counted for the fair share of its customer, and when it got a place.
    is_counted: bool,
    admitted_at: Option<BootTime>,
    fair_refusal: Option<FairRefusal>,
}

impl Progress {
    /// Returns the number of attempts that reached an upstream.
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// Returns the name of the last other instance that the request was sent to.
    pub fn helper(&self) -> Option<&str> {
        self.helper.as_deref()
    }

    /// Returns why the request may not take the place that there was, if it was refused for that.
    pub fn fair_refusal(&self) -> Option<FairRefusal> {
        self.fair_refusal
    }

    /// Returns the last choice of an upstream, with the estimates behind it.
    pub fn last_decision(&self) -> Option<Decision> {
        self.last_decision
    }
}

impl Forwarding<'_> {
    /// Sends the request until an upstream answers or no further attempt is allowed.
    pub async fn run<H: HeaderCodec>(&mut self) -> ForwardOutcome {
        let outcome = self.run_attempts::<H>().await;
        if let (ForwardOutcome::NotRun { .. }, Some(admitted_at), Some((class, customer))) =
            (&outcome, self.progress.admitted_at, self.fair_keys())
        {
            let customers = &self.state.customers;
            customers.give_place_back(class, customer, admitted_at);
        }
        outcome
    }

    async fn run_attempts<H: HeaderCodec>(&mut self) -> ForwardOutcome {
        loop {
            match self.state.admit(self.request.deadline) {
                Some(deadline) => self.request.end_by(deadline),
                None => return self.give_up(STOPPING_REASON, STOPPING_RETRY_AFTER),
            }
            if self.origin == Origin::Caller
                && self.progress.arrivals == 0
                && self.state.reach().is_lost()
                && let Some(outcome) = self.send_to_helpers::<H>().await
            {
                return outcome;
            }
            // The instance that sends a request to upstreams may repeat it.
            if !std::mem::replace(&mut self.progress.has_deposited, true) {
                self.state.deposit_retry(self.service);
            }
            let decision = match self.choose_upstream() {
                Selection::Send(decision) => decision,
                Selection::Busy {
                    retry_after,
                    decision,
                } => {
                    self.progress.last_decision = Some(decision);
                    return self.give_up("every upstream is busy", retry_after);
                }
                Selection::Withheld { decision } => {
                    self.progress.last_decision = Some(decision);
                    return match self.progress.fair_refusal {
                        Some(refusal) => self.give_up(refusal.reason(), refusal.retry_after()),
                        None => self.give_up("every upstream is busy", DEFAULT_RETRY_AFTER),
                    };
                }
                Selection::AtLimit { retry_after } => {
                    return self.give_up("every upstream is at its limit", retry_after);
                }
                Selection::Waiting { retry_after } => {
                    let retry_after = spread_delay(retry_after, rand::random());
                    return self.give_up("every upstream asked to wait", retry_after);
                }
                Selection::NoUpstream => {
                    return self.give_up("no upstream takes work", DEFAULT_RETRY_AFTER);
                }
            };
            // The last attempt, or another instance, may have reported a crash since the arrival.
            if !self.progress.tried.is_empty() && self.is_refused() {
                return self.give_up(BLOCKED_REASON, BLOCKED_RETRY_AFTER);
            }
            if self.progress.arrivals > 0 && !self.state.withdraw_retry(self.service) {
                return self.give_up("no retry is left to spend", DEFAULT_RETRY_AFTER);
            }
            self.progress.last_decision = Some(decision);
            if let Some(outcome) = self.attempt::<H>(decision).await {
                return outcome;
            }
        }
    }

    fn is_refused(&self) -> bool {
        let now = Instant::now();
        self.state.blocks().refuses(self.request.fingerprints, now)
    }

    /// Sends the request to other entry instances until one forwards it. Returns `None` if it did
    /// not run and none is left.
    async fn send_to_helpers<H: HeaderCodec>(&mut self) -> Option<ForwardOutcome> {
        let mut tried = Vec::new();
        while tried.len() < MAX_HELPERS {
            let now = Instant::now();
            let regions = &self.terms.regions;
            let key = self.state.helpers().choose(regions, &tried, now)?;
            tried.push(key);
            let name = self.state.helpers().name(key).to_owned();
            self.progress.helper = Some(name);
            let sending = helper_request::send::<H>(self.state, key, &self.request, &mut self.body);
            let result = sending.await;
            self.state.metrics.count_helped(result.outcome());
            match result {
                HelperResult::Answer(response) => return Some(ForwardOutcome::Answer(response)),
                HelperResult::Unknown { timed_out } => {
                    let reason = "no answer of the other instance";
                    return Some(ForwardOutcome::Unknown { reason, timed_out });
                }
                HelperResult::CannotForward | HelperResult::Behind if !self.body.can_be_sent() => {
                    let reason = "the other instance cannot forward";
                    return Some(self.give_up(reason, DEFAULT_RETRY_AFTER));
                }
                HelperResult::CannotForward | HelperResult::Behind => {}
            }
        }
        None
    }

    /// Replaces the time that an upstream names for this instance by the one that holds for callers:
    /// none if another upstream accepts requests.
    fn replace_retry_after<H: HeaderCodec>(&self, headers: &mut HeaderMap) {
        headers.remove(RETRY_AFTER);
        if let Some(delay) = self.wait_of_all() {
            headers.insert(RETRY_AFTER, H::retry_after(delay));
        }
    }

    /// Returns the time after which the caller should retry: the default one, or that until the
    /// first upstream accepts requests, if all have asked to wait.
    fn retry_after(&self) -> Duration {
        self.wait_of_all().unwrap_or(DEFAULT_RETRY_AFTER)
    }

    /// Returns the time after which the caller should retry if all upstreams have asked to wait.
    fn wait_of_all(&self) -> Option<Duration> {
        match self.choose_among(&[], Places::All) {
            Selection::Waiting { retry_after } => Some(spread_delay(retry_after, rand::random())),
            _ => None,
        }
    }

    /// Chooses the upstream of the next attempt. The first one counts for the fair share of the
    /// customer; further ones are bound by the retry budget.
    fn choose_upstream(&mut self) -> Selection {
        let is_counted = std::mem::replace(&mut self.progress.is_counted, true);
        let keys = self.fair_keys().filter(|_| !is_counted);
        let Some((class, customer)) = keys else {
            return self.choose_among(&self.progress.tried, Places::All);
        };
        let customers = &self.state.customers;
        let places = customers.arrive(class, customer);
        let selection = self.choose_among(&self.progress.tried, places);
        match selection {
            Selection::Send(_) => {
                self.progress.admitted_at = Some(customers.take_place(class, customer));
            }
            Selection::Busy { .. } => customers.run_short(class),
            Selection::Withheld { .. } => {
                let refusal = customers.refuse_place(class, customer, places);
                self.progress.fair_refusal = Some(refusal);
            }
            Selection::AtLimit { .. } | Selection::Waiting { .. } | Selection::NoUpstream => {}
        }
        selection
    }

    /// Returns what the fair share of the customer is found by.
    fn fair_keys(&self) -> Option<(FairClass, FairCustomer)> {
        let customer = self.customer?;
        let class = FairClass::new(self.service, self.terms.priority);
        Some((class, FairCustomer::new(&customer.name)))
    }

    /// Chooses an upstream that is not among those that were `tried`, within some places.
    fn choose_among(&self, tried: &[UpstreamKey], places: Places) -> Selection {
        let now = Instant::now();
        let request = RequestContext {
            route: &self.route.name,
            service: self.service,
            object: self.request.object,
            regions: &self.terms.regions,
            tried,
            time_left: self.request.deadline.saturating_duration_since(now),
            elapsed: now.saturating_duration_since(self.started_at),
            target_latency: Duration::from_millis(self.route.item.target_latency_ms),
            priority: self.terms.priority,
            places,
        };
        self.state.load_balancer().choose(&request, now)
    }

    /// Makes one attempt; returns the outcome of the request, or `None` if another attempt should
    /// follow.
    async fn attempt<H: HeaderCodec>(&mut self, decision: Decision) -> Option<ForwardOutcome> {
        let is_retry = self.progress.arrivals > 0;
        let result = upstream_attempt::run::<H>(
            self.state,
            decision,
            &self.route.name,
            &self.request,
            &mut self.body,
        )
        .await;
        self.progress.tried.push(decision.upstream);
        self.request.may_check = false;
        let outcome = match &result {
            AttemptResult::Answer(_) => "answer",
            AttemptResult::NotRun { .. } => "not-run",
            AttemptResult::Unknown { .. } => "unknown",
        };
        let region = self
            .state
            .load_balancer()
            .region(decision.upstream)
            .to_owned();
        let metrics = &self.state.metrics;
        metrics.count_attempt(self.service, region, outcome);
        match result {
            AttemptResult::Answer(response) => self.on_answer::<H>(response),
            AttemptResult::NotRun { reason, arrived } => {
                self.count_arrival(arrived, is_retry);
                self.on_not_run(reason)
            }
            AttemptResult::Unknown {
                reason,
                timed_out,
                connection_broke,
            } => {
                self.count_arrival(true, is_retry);
                if connection_broke {
                    crash_checks::wait(self.state, decision.upstream, CRASH_CHECK_WAIT).await;
                }
                self.on_unknown(reason, timed_out)
            }
        }
    }

    fn on_answer<H: HeaderCodec>(
        &mut self,
        mut response: Response<AnswerBody>,
    ) -> Option<ForwardOutcome> {
        let is_retry = self.progress.arrivals > 0;
        self.count_arrival(true, is_retry);
        if response.status() == StatusCode::SERVICE_UNAVAILABLE {
            self.replace_retry_after::<H>(response.headers_mut());
        }
        let failed = response.status() == StatusCode::INTERNAL_SERVER_ERROR;
        if failed && self.may_retry() {
            self.progress.failure = Some(response);
            return None;
        }
        Some(ForwardOutcome::Answer(response))
    }

    fn on_not_run(&mut self, reason: &'static str) -> Option<ForwardOutcome> {
        let unreached = self.progress.tried.len() - self.progress.arrivals as usize;
        if !self.body.can_be_sent()
            || unreached >= MAX_UNREACHED_ATTEMPTS
            || self.progress.arrivals >= self.route.item.max_attempts
        {
            let retry_after = self.retry_after();
            return Some(self.give_up(reason, retry_after));
        }
        None
    }

    fn on_unknown(&mut self, reason: &'static str, timed_out: bool) -> Option<ForwardOutcome> {
        self.progress.unknown_outcome = Some((reason, timed_out));
        if timed_out || !self.may_retry() {
            return Some(ForwardOutcome::Unknown { reason, timed_out });
        }
        None
    }

    fn may_retry(&self) -> bool {
        self.body.can_be_sent()
            && self.request.idempotent
            && self.progress.arrivals < self.route.item.max_attempts
    }

    fn count_arrival(&mut self, arrived: bool, is_retry: bool) {
        if !arrived {
            return;
        }
        self.progress.arrivals += 1;
        if is_retry {
            self.state.metrics.count_retry(self.service);
        }
    }

    /// Returns the outcome of a request for which no further attempt is made.
    fn give_up(&mut self, reason: &'static str, retry_after: Duration) -> ForwardOutcome {
        if let Some(response) = self.progress.failure.take() {
            return ForwardOutcome::Answer(response);
        }
        match self.progress.unknown_outcome {
            Some((reason, timed_out)) => ForwardOutcome::Unknown { reason, timed_out },
            None => ForwardOutcome::NotRun {
                reason,
                retry_after,
            },
        }
    }
}
