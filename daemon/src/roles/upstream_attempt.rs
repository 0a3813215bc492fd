use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use laburnumdeal_policy::steer::{AttemptOutcome, Decision};
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::connection_pool::{ConnectionPool, Freshness};
use crate::exchange_error::ExchangeError;
use crate::exchange_guard::ExchangeGuard;
use crate::header;
use crate::request_body::RequestBody;
use crate::roles::HeaderCodec;
use crate::roles::entry_state::EntryState;

/// Longest time to wait for a new connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest answer that is held whole before its first byte goes to the caller.
const HOLD_BYTES: u64 = 256 * 1024;

/// Longest answer without a length.
const MAX_UNSIZED_BYTES: usize = 8 * 1024 * 1024;

/// Longest answer.
const MAX_ANSWER_BYTES: u64 = 1024 * 1024 * 1024;

/// Age up to which an idle connection carries a request that may be repeated.
const IDLE_REUSED: Duration = Duration::from_millis(3_000);

/// What every attempt of one request sends.
#[derive(Clone, Debug)]
pub(super) struct AttemptRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub id: HeaderValue,
    pub object: u64,
    pub idempotent: bool,
    /// When the upstream should stop working on it.
    pub deadline: Instant,
    /// When the answer is no longer waited for.
    pub wait_until: Instant,
}

/// How an attempt ended.
pub(super) enum AttemptResult {
    /// The answer of the upstream.
    Answer(Response<AnswerBody>),
    /// Nothing ran; the reason is logged.
    NotRun {
        /// Why.
        reason: &'static str,
        /// Whether the request arrived at an upstream.
        arrived: bool,
    },
    /// The request may have run.
    Unknown {
        /// Why.
        reason: &'static str,
        /// Whether the time ran out.
        timed_out: bool,
        /// Whether the connection broke, as it does when an upstream crashes.
        broke: bool,
    },
}

/// Counts an attempt until its outcome is known; a caller that leaves first cancels it.
struct Counted {
    state: Arc<EntryState>,
    decision: Decision,
    route: String,
    object: u64,
    started_at: Instant,
    outcome: AttemptOutcome,
}

impl Counted {
    fn begin(state: &Arc<EntryState>, decision: Decision, route: &str, object: u64) -> Self {
        let now = Instant::now();
        state.book().begin_attempt(&decision, now);
        Self {
            state: state.clone(),
            decision,
            route: route.to_owned(),
            object,
            started_at: now,
            outcome: AttemptOutcome::Cancelled,
        }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let mut book = self.state.book();
        let now = Instant::now();
        book.end_attempt(&self.decision, &self.route, self.object, self.outcome, now);
    }
}

/// Sends a request to one upstream and receives its answer.
pub async fn run<H: HeaderCodec>(
    state: &Arc<EntryState>,
    decision: Decision,
    route: &str,
    request: &AttemptRequest,
    body: RequestBody,
) -> AttemptResult {
    let (id, address) = {
        let book = state.book();
        let (id, address) = book.endpoint(decision.upstream);
        (id.to_owned(), address)
    };
    let mut counted = Counted::begin(state, decision, route, request.object);
    let pool = state.pool(decision.upstream, address);
    let guard = match connect(&pool, request).await {
        Ok(guard) => guard,
        Err(reason) => {
            counted.outcome = AttemptOutcome::ConnectFailed;
            return AttemptResult::NotRun {
                reason,
                arrived: false,
            };
        }
    };
    let message = message::<H>(request, &id, body);
    exchange::<H>(&mut counted, guard, request, message).await
}

async fn connect(
    pool: &ConnectionPool,
    request: &AttemptRequest,
) -> Result<ExchangeGuard, &'static str> {
    let freshness = match request.idempotent {
        true => Freshness::Within(IDLE_REUSED),
        false => Freshness::ProvedLive,
    };
    let until = request.deadline.min(Instant::now() + CONNECT_TIMEOUT);
    match pool.take(freshness, until).await {
        Ok(connection) => Ok(ExchangeGuard::new(connection, pool.clone(), None)),
        Err(ExchangeError::Refused(_)) => Err("the connection was refused"),
        Err(_) => Err("no connection in time"),
    }
}

fn message<H: HeaderCodec>(
    request: &AttemptRequest,
    upstream: &str,
    body: RequestBody,
) -> Request<RequestBody> {
    let mut message = Request::new(body);
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let headers = message.headers_mut();
    headers.clone_from(&request.headers);
    let left = request.deadline.saturating_duration_since(Instant::now());
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
    headers.insert(H::DEADLINE_MS, HeaderValue::from(left_ms));
    headers.insert(H::EXPECTED_UPSTREAM, header::value(upstream));
    message
}

async fn exchange<H: HeaderCodec>(
    counted: &mut Counted,
    mut guard: ExchangeGuard,
    request: &AttemptRequest,
    message: Request<RequestBody>,
) -> AttemptResult {
    let sent = guard.connection().send(message, request.wait_until).await;
    let response = match sent {
        Ok(response) => response,
        Err(ExchangeError::NotSent | ExchangeError::Refused(_)) => {
            counted.outcome = AttemptOutcome::Cancelled;
            return AttemptResult::NotRun {
                reason: "no byte was sent",
                arrived: false,
            };
        }
        Err(ExchangeError::Broken(_)) => {
            counted.outcome = AttemptOutcome::Broken;
            return unknown("the connection broke before the answer", false, true);
        }
        Err(ExchangeError::Silent) => {
            guard.silent();
            counted.outcome = AttemptOutcome::TimedOut;
            return unknown("no answer in time", true, false);
        }
    };
    if response.headers().get(H::REQUEST_ID) != Some(&request.id) {
        counted.outcome = AttemptOutcome::Broken;
        return unknown("the answer belongs to another request", false, false);
    }
    if let Some(load) = H::load(response.headers()) {
        let mut book = counted.state.book();
        book.record_load(counted.decision.upstream, load, Instant::now());
    }
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST {
        counted.outcome = AttemptOutcome::WrongUpstream;
        return AttemptResult::NotRun {
            reason: "another upstream has the address",
            arrived: true,
        };
    }
    if H::reports_not_run(response.headers()) && !status.is_success() {
        counted.outcome = AttemptOutcome::Shed;
        guard.complete();
        return AttemptResult::NotRun {
            reason: "the upstream had no room",
            arrived: true,
        };
    }
    match receive(response, guard, request.wait_until).await {
        Ok(response) => {
            let took_ms = counted.started_at.elapsed().as_secs_f64() * 1_000.0;
            let failed = status.is_server_error();
            counted.outcome = AttemptOutcome::Answered { took_ms, failed };
            AttemptResult::Answer(response)
        }
        Err(timed_out) => {
            counted.outcome = match timed_out {
                true => AttemptOutcome::TimedOut,
                false => AttemptOutcome::Broken,
            };
            unknown("the answer broke off", timed_out, false)
        }
    }
}

/// Receives the rest of an answer. A short one is held whole, so that one that breaks off never
/// looks complete. Returns whether the time ran out when there is none.
async fn receive(
    response: Response<Incoming>,
    guard: ExchangeGuard,
    wait_until: Instant,
) -> Result<Response<AnswerBody>, bool> {
    let (mut parts, incoming) = response.into_parts();
    parts.headers = header::end_to_end(&parts.headers);
    let length = incoming.size_hint().exact();
    if length.is_some_and(|bytes| bytes > HOLD_BYTES) {
        let body = AnswerBody::stream(incoming, MAX_ANSWER_BYTES, wait_until, guard);
        return Ok(Response::from_parts(parts, body));
    }
    let limited = Limited::new(incoming, MAX_UNSIZED_BYTES);
    match tokio::time::timeout_at(wait_until, limited.collect()).await {
        Ok(Ok(collected)) => {
            guard.complete();
            let body = AnswerBody::whole(collected.to_bytes());
            Ok(Response::from_parts(parts, body))
        }
        Ok(Err(_)) => Err(false),
        Err(_) => {
            guard.silent();
            Err(true)
        }
    }
}

fn unknown(reason: &'static str, timed_out: bool, broke: bool) -> AttemptResult {
    AttemptResult::Unknown {
        reason,
        timed_out,
        broke,
    }
}
