use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use laburnumdeal_policy::steer::{
    AttemptOutcome, Decision, RequestFingerprints, UpstreamKey, stated_idle,
};
use slog::info;
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::connection::Connection;
use crate::connection_pool::{ConnectionPool, Freshness};
use crate::exchange_error::ExchangeError;
use crate::exchange_guard::ExchangeGuard;
use crate::header;
use crate::request_body::RequestBody;
use crate::roles::HeaderCodec;
use crate::roles::answer_notices;
use crate::roles::buffered_body::BufferedBody;
use crate::roles::connection_check::{self, CheckResult};
use crate::roles::crash_checks::{self, UnansweredAttempt};
use crate::roles::entry_state::EntryState;
use crate::roles::reach_probes;
use crate::send_error::SendError;

/// Header in which an upstream states for how long it keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Timeout for opening a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest answer of an upstream.
pub(super) const MAX_ANSWER_BYTES: u64 = 1024 * 1024 * 1024;

/// Time after the timeout of a request for which its answer is still read, for what the upstream says
/// of itself. The upstream stops work at the deadline, so that this takes none of its time.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(250);

/// Interval at which an upstream is checked for a crash while an attempt waits for its answer.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Request as every attempt sends it.
#[derive(Clone, Debug)]
pub(super) struct AttemptRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub id: HeaderValue,
    /// Address of the caller.
    pub caller: IpAddr,
    /// Hashes that repeats of the request share; crash reports name them.
    pub fingerprints: RequestFingerprints,
    /// Hash of the affinity key, or of the path if the request has no key.
    pub object: u64,
    pub idempotent: bool,
    /// Whether a kept connection may be checked for it. A request waits for one check at most.
    pub may_check: bool,
    /// Whether the configuration has customers, so that the headers name the customer that sent it.
    pub has_checked_customer: bool,
    /// Deadline sent to the upstream, which should stop working on the request by then.
    pub deadline: Instant,
    /// Time after which this instance no longer waits for the answer.
    pub wait_until: Instant,
}

impl AttemptRequest {
    /// Moves the end of the request forward to an earlier deadline.
    pub fn end_by(&mut self, deadline: Instant) {
        let excess = self.deadline.saturating_duration_since(deadline);
        self.deadline -= excess;
        self.wait_until -= excess;
    }

    /// Returns the time left until the deadline in whole milliseconds, at least one, as a header.
    pub fn remaining_ms(&self) -> HeaderValue {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        HeaderValue::from(remaining_ms.max(1))
    }
}

/// How an attempt ended.
pub(super) enum AttemptResult {
    /// The answer of the upstream.
    Answer(Response<AnswerBody>),
    /// The request did not run.
    NotRun {
        /// Reason, for the caller and the log.
        reason: &'static str,
        /// Whether the request reached an upstream.
        arrived: bool,
    },
    /// The request may have run.
    Unknown {
        /// Reason, for the caller and the log.
        reason: &'static str,
        /// Whether the cause is a timeout.
        timed_out: bool,
        /// Whether the connection broke before the end of the answer, as it does when an upstream
        /// crashes.
        connection_broke: bool,
    },
}

/// How a streamed answer ended that is not whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The connection broke, or what it carried was no answer.
    Broken,
    /// The answer did not end in time.
    TimedOut,
}

/// Attempt that counts as in flight until it is dropped. It is recorded as cancelled if the caller
/// disconnects before there is an outcome.
pub(crate) struct InFlightAttempt {
    state: Arc<EntryState>,
    decision: Decision,
    route: String,
    object: u64,
    id: HeaderValue,
    fingerprints: RequestFingerprints,
    started_at: Instant,
    /// Whether the upstream may have received the request.
    is_sent: bool,
    outcome: AttemptOutcome,
    /// Time until the head of the answer, and whether it reports a server error, while the body is
    /// streamed.
    answered: Option<(f64, bool)>,
}

impl fmt::Debug for InFlightAttempt {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("InFlightAttempt");
        shown.field("id", &self.id).finish_non_exhaustive()
    }
}

impl InFlightAttempt {
    /// Ends the attempt with the whole answer.
    pub(crate) fn complete(mut self) {
        if let Some((took_ms, failed)) = self.answered {
            self.outcome = AttemptOutcome::Answered { took_ms, failed };
        }
    }

    /// Ends the attempt without the whole answer.
    pub(crate) fn end(mut self, end: AttemptEnd) {
        self.outcome = match end {
            AttemptEnd::Broken => AttemptOutcome::Broken,
            AttemptEnd::TimedOut => AttemptOutcome::TimedOut,
        };
    }

    fn begin(
        state: &Arc<EntryState>,
        decision: Decision,
        route: &str,
        request: &AttemptRequest,
    ) -> Self {
        let now = Instant::now();
        state.load_balancer().begin_attempt(&decision, now);
        Self {
            state: state.clone(),
            decision,
            route: route.to_owned(),
            object: request.object,
            id: request.id.clone(),
            fingerprints: request.fingerprints,
            started_at: now,
            is_sent: false,
            outcome: AttemptOutcome::Cancelled,
            answered: None,
        }
    }

    /// Returns this attempt for a check of its upstream.
    fn unanswered(&self) -> UnansweredAttempt {
        UnansweredAttempt {
            id: self.id.clone(),
            fingerprints: self.fingerprints,
            is_broken: self.outcome == AttemptOutcome::Broken,
            at: Instant::now(),
        }
    }

    /// Logs an attempt that ended without an answer, and checks its upstream for a crash.
    fn handle_unanswered(&self, upstream: &str) {
        let outcome = match self.outcome {
            AttemptOutcome::Broken => "broken",
            AttemptOutcome::TimedOut => "timed-out",
            AttemptOutcome::Cancelled if self.is_sent => "cancelled",
            AttemptOutcome::WrongUpstream => {
                let upstream = self.decision.upstream;
                return crash_checks::report_ended(&self.state, upstream, "lost its address");
            }
            _ => return,
        };
        crash_checks::start(&self.state, self.decision.upstream, self.unanswered());
        let Some(log) = self.state.log.limited(true) else {
            return;
        };
        info!(log, "attempt ended without an answer";
            "id" => String::from_utf8_lossy(self.id.as_bytes()).into_owned(),
            "fingerprint" => format!("{:016x}", self.fingerprints.by_caller), "upstream" => upstream,
            "outcome" => outcome, "took_ms" => self.started_at.elapsed().as_millis() as u64);
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        let mut load_balancer = self.state.load_balancer();
        let now = Instant::now();
        load_balancer.end_attempt(&self.decision, &self.route, self.object, self.outcome, now);
        let upstream = load_balancer.endpoint(self.decision.upstream).0.to_owned();
        drop(load_balancer);
        if matches!(self.outcome, AttemptOutcome::Answered { failed: false, .. }) {
            self.state.record_completed(self.fingerprints, now);
        }
        self.handle_unanswered(&upstream);
    }
}

/// Sends a request to one upstream and receives its answer. Takes the body only once there is a
/// connection, so that another attempt can send a long body after one that reached no upstream.
pub async fn run<H: HeaderCodec>(
    state: &Arc<EntryState>,
    decision: Decision,
    route: &str,
    request: &AttemptRequest,
    body: &mut BufferedBody,
) -> AttemptResult {
    let (id, address) = {
        let load_balancer = state.load_balancer();
        let (id, address) = load_balancer.endpoint(decision.upstream);
        (id.to_owned(), address)
    };
    let mut in_flight = InFlightAttempt::begin(state, decision, route, request);
    let pool = state.pool(decision.upstream, address);
    let started_at = Instant::now();
    let connect_timeout = state.link.patience(CONNECT_TIMEOUT);
    let connecting = connect::<H>(state, decision.upstream, &pool, request, connect_timeout);
    let mut guard = match connecting.await {
        Ok(guard) => guard,
        Err(failure) => {
            in_flight.outcome = failure.outcome();
            if failure.is_unreached() {
                reach_probes::record_failed(state, decision.upstream);
            }
            return AttemptResult::NotRun {
                reason: failure.reason(),
                arrived: false,
            };
        }
    };
    if guard.connection().opened_at() >= started_at {
        state.reach().record_opened();
    }
    // Opening or checking a connection may have taken long enough for news to arrive.
    if guard.connection().active_at() >= started_at
        && let Some(reason) = withdrawal_reason(state, decision, request)
    {
        guard.complete();
        return AttemptResult::NotRun {
            reason,
            arrived: false,
        };
    }
    let Some(taken) = body.take() else {
        guard.complete();
        return AttemptResult::NotRun {
            reason: "the body was sent in an earlier attempt",
            arrived: false,
        };
    };
    let message = upstream_request::<H>(request, &id, taken);
    let (result, unsent) = exchange::<H>(in_flight, guard, request, message).await;
    if let Some(unsent) = unsent {
        body.restore(unsent);
    }
    result
}

/// Returns why a request must no longer be sent to the upstream that was chosen for it.
fn withdrawal_reason(
    state: &EntryState,
    decision: Decision,
    request: &AttemptRequest,
) -> Option<&'static str> {
    let now = Instant::now();
    let load_balancer = state.load_balancer();
    if load_balancer.is_withdrawn(decision.upstream) {
        return Some("the upstream leaves");
    }
    if !load_balancer.wait_left(decision.upstream, now).is_zero() {
        return Some("the upstream asked to wait");
    }
    drop(load_balancer);
    let is_refused = state.blocks().refuses(request.fingerprints, now);
    is_refused.then_some("the request was blocked meanwhile")
}

/// Why there is no connection for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoConnection {
    /// None opened.
    Unopened(&'static str),
    /// The upstream of a kept one says that it takes no requests.
    Refused,
    /// Another upstream has the address.
    OtherUpstream,
}

impl NoConnection {
    fn is_unreached(self) -> bool {
        matches!(self, Self::Unopened(_))
    }

    fn reason(self) -> &'static str {
        match self {
            Self::Unopened(reason) => reason,
            Self::Refused => "the upstream takes no requests",
            Self::OtherUpstream => "another upstream has the address",
        }
    }

    fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Unopened(_) => AttemptOutcome::ConnectFailed,
            Self::Refused => AttemptOutcome::Shed,
            Self::OtherUpstream => AttemptOutcome::WrongUpstream,
        }
    }
}

async fn connect<H: HeaderCodec>(
    state: &Arc<EntryState>,
    upstream: UpstreamKey,
    pool: &ConnectionPool,
    request: &AttemptRequest,
    timeout: Duration,
) -> Result<ExchangeGuard, NoConnection> {
    let kept = match request.idempotent {
        true => {
            let longest_idle = state.idle_reuse().longest_idle(Instant::now());
            pool.take_active_within(longest_idle)
        }
        false => take_for_one_run::<H>(state, upstream, pool, request).await?,
    };
    if let Some(connection) = kept.filter(|kept| !kept.has_refused(&request.id)) {
        return Ok(ExchangeGuard::new(connection, pool.clone(), None));
    }
    let until = request.deadline.min(Instant::now() + timeout);
    match pool.acquire(Freshness::New, until).await {
        Ok(connection) => Ok(ExchangeGuard::new(connection, pool.clone(), None)),
        Err(ExchangeError::Refused(_)) => Err(NoConnection::Unopened("the connection was refused")),
        Err(_) => Err(NoConnection::Unopened("no connection in time")),
    }
}

/// Takes a kept connection for a request that must not be repeated: one that answered a short while
/// ago, or that passes a check now. Returns `None` if a new one is needed.
async fn take_for_one_run<H: HeaderCodec>(
    state: &Arc<EntryState>,
    upstream: UpstreamKey,
    pool: &ConnectionPool,
    request: &AttemptRequest,
) -> Result<Option<Connection>, NoConnection> {
    if let Some(recent) = pool.take_recently_active() {
        return Ok(Some(recent));
    }
    if !request.may_check {
        return Ok(None);
    }
    match connection_check::take_checked::<H>(state, upstream, pool, request).await {
        Some(Ok(checked)) => Ok(Some(checked)),
        Some(Err(CheckResult::Refused)) => Err(NoConnection::Refused),
        Some(Err(CheckResult::OtherUpstream)) => Err(NoConnection::OtherUpstream),
        _ => Ok(None),
    }
}

fn upstream_request<H: HeaderCodec>(
    request: &AttemptRequest,
    upstream: &str,
    body: RequestBody,
) -> Request<RequestBody> {
    let mut message = Request::new(body);
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let headers = message.headers_mut();
    headers.clone_from(&request.headers);
    headers.insert(H::DEADLINE_MS, request.remaining_ms());
    headers.insert(H::EXPECTED_UPSTREAM, header::value(upstream));
    message
}

/// Sends the message and receives its answer. Returns the body with the result if no byte was sent.
async fn exchange<H: HeaderCodec>(
    mut in_flight: InFlightAttempt,
    mut guard: ExchangeGuard,
    request: &AttemptRequest,
    message: Request<RequestBody>,
) -> (AttemptResult, Option<RequestBody>) {
    in_flight.is_sent = true;
    answer_notices::check_wait(&in_flight.state, in_flight.decision.upstream, &request.id);
    let idle = guard.connection().idle_for();
    let sent = send::<H>(&in_flight, guard, message, request.wait_until).await;
    let failure = match sent {
        Ok((response, guard)) => {
            let result = on_answer_head::<H>(in_flight, guard, request, response).await;
            return (result, None);
        }
        Err(failure) => failure,
    };
    let result = match failure.error {
        ExchangeError::NotSent | ExchangeError::Refused(_) => {
            in_flight.is_sent = false;
            AttemptResult::NotRun {
                reason: "no byte was sent",
                arrived: false,
            }
        }
        ExchangeError::Broken(_) => {
            in_flight.outcome = AttemptOutcome::Broken;
            let mut reuse = in_flight.state.idle_reuse();
            reuse.record_broken(idle, Instant::now());
            drop(reuse);
            unknown("the connection broke before the answer", false, true)
        }
        ExchangeError::InvalidStatus { .. } => {
            in_flight.outcome = AttemptOutcome::Broken;
            unknown("the status of the answer is invalid", false, false)
        }
        ExchangeError::TimedOut => {
            in_flight.outcome = AttemptOutcome::TimedOut;
            unknown("no answer in time", true, false)
        }
    };
    (result, failure.into_unsent_body())
}

/// Receives the rest of an answer whose head has arrived.
async fn on_answer_head<H: HeaderCodec>(
    mut in_flight: InFlightAttempt,
    mut guard: ExchangeGuard,
    request: &AttemptRequest,
    response: Response<Incoming>,
) -> AttemptResult {
    let upstream = in_flight.decision.upstream;
    if !record_notices::<H>(&in_flight.state, upstream, &request.id, &response) {
        in_flight.outcome = AttemptOutcome::Broken;
        return unknown("the answer belongs to another request", false, false);
    }
    let keep_alive = header::text(response.headers(), &KEEP_ALIVE);
    if let Some(stated) = keep_alive.and_then(stated_idle) {
        guard.connection().set_stated_idle(stated);
    }
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        in_flight.outcome = AttemptOutcome::WrongUpstream;
        return AttemptResult::NotRun {
            reason: "another upstream has the address",
            arrived: true,
        };
    }
    if H::reports_not_run(response.headers()) && !status.is_success() {
        in_flight.outcome = AttemptOutcome::Shed;
        guard.connection().record_refused(request.id.clone());
        guard.complete();
        return AttemptResult::NotRun {
            reason: "the upstream had no room",
            arrived: true,
        };
    }
    let took_ms = in_flight.started_at.elapsed().as_secs_f64() * 1_000.0;
    let failed = status.is_server_error();
    let (mut parts, incoming) = response.into_parts();
    parts.headers = header::end_to_end(&parts.headers);
    parts.headers.remove(H::LEAVING);
    let held_bytes = in_flight.state.link.held_answer_bytes();
    match receive(incoming, held_bytes, request.wait_until).await {
        Ok(ReceivedBody::Whole(bytes)) => {
            let took_ms = in_flight.started_at.elapsed().as_secs_f64() * 1_000.0;
            in_flight.outcome = AttemptOutcome::Answered { took_ms, failed };
            guard.complete();
            let body = AnswerBody::whole(bytes);
            AttemptResult::Answer(Response::from_parts(parts, body))
        }
        Ok(ReceivedBody::Long(held, incoming)) => {
            in_flight.answered = Some((took_ms, failed));
            guard.keep_attempt(in_flight);
            let wait_until = request.wait_until;
            let body = AnswerBody::stream(held, incoming, MAX_ANSWER_BYTES, wait_until, guard);
            AttemptResult::Answer(Response::from_parts(parts, body))
        }
        Err(AttemptEnd::TimedOut) => {
            guard.timed_out();
            in_flight.outcome = AttemptOutcome::TimedOut;
            unknown("the answer broke off", true, false)
        }
        Err(AttemptEnd::Broken) => {
            in_flight.outcome = AttemptOutcome::Broken;
            unknown("the answer broke off", false, true)
        }
    }
}

/// Sends a request and returns the head of its answer. While there is none, the upstream is checked
/// for a crash at intervals: one that ended silently is not told from a slow one otherwise before
/// the timeout of the request.
async fn send<H: HeaderCodec>(
    in_flight: &InFlightAttempt,
    mut guard: ExchangeGuard,
    message: Request<RequestBody>,
    wait_until: Instant,
) -> Result<(Response<Incoming>, ExchangeGuard), SendError> {
    let (pool, opened_at) = (guard.pool().clone(), guard.connection().opened_at());
    let late_until = wait_until + LATE_ANSWER_WAIT;
    let mut sending = Box::pin(async move {
        let connection = guard.connection();
        let sent = connection.send_and_wait(message, wait_until, late_until);
        sent.await.map(|response| (response, guard))
    });
    loop {
        let check_at = wait_until.min(Instant::now() + SILENCE_CHECK_INTERVAL);
        match tokio::time::timeout_at(check_at, sending.as_mut()).await {
            Ok(sent) => return sent,
            Err(_) if Instant::now() >= wait_until => break,
            Err(_) => crash_checks::start_if_due(
                &in_flight.state,
                in_flight.decision.upstream,
                in_flight.unanswered(),
            ),
        }
    }
    pool.retire(opened_at);
    let (state, upstream) = (in_flight.state.clone(), in_flight.decision.upstream);
    let id = in_flight.id.clone();
    tokio::spawn(async move {
        if let Ok((response, _)) = sending.await {
            record_notices::<H>(&state, upstream, &id, &response);
        }
    });
    Err(ExchangeError::TimedOut.into())
}

/// Records what an answer says of its upstream; returns whether it is the answer to the request `id`
/// by the upstream that was asked.
fn record_notices<H: HeaderCodec>(
    state: &EntryState,
    upstream: UpstreamKey,
    id: &HeaderValue,
    response: &Response<Incoming>,
) -> bool {
    let (status, headers) = (response.status(), response.headers());
    let is_own = headers.get(H::REQUEST_ID) == Some(id);
    if is_own && status != StatusCode::MISDIRECTED_REQUEST {
        answer_notices::record::<H>(state, upstream, id, status, headers);
    }
    is_own
}

/// Body of an answer, as far as it was received before its first byte goes to the caller.
pub(super) enum ReceivedBody {
    /// The whole body.
    Whole(Bytes),
    /// Beginning of a long body, and the rest as it arrives.
    Long(Bytes, Incoming),
}

/// Receives the body of an answer. One of up to `held_bytes` is buffered whole, so that a truncated answer can be
/// asked for again elsewhere.
pub(super) async fn receive(
    mut incoming: Incoming,
    held_bytes: usize,
    wait_until: Instant,
) -> Result<ReceivedBody, AttemptEnd> {
    let length = incoming.size_hint().exact();
    if length.is_some_and(|bytes| bytes > held_bytes as u64) {
        return Ok(ReceivedBody::Long(Bytes::new(), incoming));
    }
    let mut held = BytesMut::new();
    loop {
        let frame = tokio::time::timeout_at(wait_until, incoming.frame()).await;
        let Some(frame) = frame.map_err(|_| AttemptEnd::TimedOut)? else {
            return Ok(ReceivedBody::Whole(held.freeze()));
        };
        let frame = frame.map_err(|_| AttemptEnd::Broken)?;
        if let Ok(bytes) = frame.into_data() {
            held.extend_from_slice(&bytes);
        }
        if held.len() > held_bytes {
            return Ok(ReceivedBody::Long(held.freeze(), incoming));
        }
    }
}

fn unknown(reason: &'static str, timed_out: bool, connection_broke: bool) -> AttemptResult {
    AttemptResult::Unknown {
        reason,
        timed_out,
        connection_broke,
    }
}
