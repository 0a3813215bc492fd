use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use laburnumdeal_policy::steer::{HelperKey, HelperOutcome};
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::connection_pool::Freshness;
use crate::exchange_error::ExchangeError;
use crate::exchange_guard::ExchangeGuard;
use crate::header;
use crate::request_body::RequestBody;
use crate::roles::HeaderCodec;
use crate::roles::buffered_body::BufferedBody;
use crate::roles::entry_state::EntryState;
use crate::roles::upstream_attempt::{
    AttemptEnd, AttemptRequest, MAX_ANSWER_BYTES, ReceivedBody, receive,
};

/// Value of [`header::OUTCOME`] by which an instance says that it cannot forward requests of others,
/// so that the request did not run.
pub(super) const CANNOT_FORWARD: &str = "cannot-forward";

/// The same, because the instance has an older configuration.
pub(super) const BEHIND: &str = "behind";

/// Timeout for opening a connection to another instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest idle time of a connection that is reused for an idempotent request.
const MAX_IDLE_REUSE: Duration = Duration::from_secs(3);

/// Time after the end of the wait of the other instance for which its answer is still awaited.
const ANSWER_GRACE: Duration = Duration::from_millis(100);

/// Longest body of a refusal, and time for it after its head. Only the reuse of the connection depends
/// on the body.
const MAX_REFUSAL_BYTES: usize = 4 * 1024;
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// How a request to another entry instance ended.
pub(super) enum HelperResult {
    /// Its answer, which is that of an upstream or its own.
    Answer(Response<AnswerBody>),
    /// The instance could not forward the request, which did not run.
    CannotForward,
    /// The same, because it has an older configuration.
    Behind,
    /// The request may have run.
    Unknown {
        /// Whether the cause is a timeout.
        timed_out: bool,
    },
}

/// Request in flight at another entry instance, until it is dropped.
struct HelperInFlight<'a> {
    state: &'a EntryState,
    key: HelperKey,
    outcome: HelperOutcome,
}

impl HelperResult {
    /// Returns the outcome for metrics.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::Answer(_) => "answer",
            Self::CannotForward | Self::Behind => "not-run",
            Self::Unknown { .. } => "unknown",
        }
    }
}

impl Drop for HelperInFlight<'_> {
    fn drop(&mut self) {
        let now = Instant::now();
        self.state.helpers().end(self.key, self.outcome, now);
    }
}

/// Sends a request to another entry instance, which forwards it to an upstream. Takes the body only
/// once there is a connection.
pub(super) async fn send<H: HeaderCodec>(
    state: &Arc<EntryState>,
    key: HelperKey,
    request: &AttemptRequest,
    body: &mut BufferedBody,
) -> HelperResult {
    state.helpers().begin(key);
    let mut in_flight = HelperInFlight {
        state,
        key,
        outcome: HelperOutcome::Forwarded,
    };
    let result = exchange::<H>(state, key, request, body).await;
    in_flight.outcome = match &result {
        HelperResult::Answer(_) => HelperOutcome::Forwarded,
        HelperResult::Behind => HelperOutcome::Behind,
        HelperResult::CannotForward | HelperResult::Unknown { .. } => HelperOutcome::Failed,
    };
    result
}

async fn exchange<H: HeaderCodec>(
    state: &Arc<EntryState>,
    key: HelperKey,
    request: &AttemptRequest,
    body: &mut BufferedBody,
) -> HelperResult {
    let address = state.helpers().address(key);
    let pool = state.helper_pool(address);
    let freshness = match request.idempotent {
        true => Freshness::ActiveWithin(MAX_IDLE_REUSE),
        false => Freshness::RecentlyActive,
    };
    let until = request.deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let Ok(connection) = pool.acquire(freshness, until).await else {
        return HelperResult::CannotForward;
    };
    let Some(taken) = body.take() else {
        return HelperResult::CannotForward;
    };
    let mut guard = ExchangeGuard::new(connection, pool, None);
    let message = message::<H>(state, request, taken);
    let wait_until = request.wait_until + ANSWER_GRACE;
    let failure = match guard.connection().send(message, wait_until).await {
        Ok(response) => {
            let held_bytes = state.link.held_answer_bytes();
            return answer::<H>(response, guard, request, held_bytes, wait_until).await;
        }
        Err(failure) => failure,
    };
    match failure.error {
        ExchangeError::NotSent | ExchangeError::Refused(_) => {
            if let Some(unsent) = failure.into_unsent_body() {
                body.restore(unsent);
            }
            HelperResult::CannotForward
        }
        ExchangeError::Broken(_) | ExchangeError::InvalidStatus { .. } => {
            HelperResult::Unknown { timed_out: false }
        }
        ExchangeError::TimedOut => {
            guard.timed_out();
            HelperResult::Unknown { timed_out: true }
        }
    }
}

fn message<H: HeaderCodec>(
    state: &EntryState,
    request: &AttemptRequest,
    body: RequestBody,
) -> Request<RequestBody> {
    let mut message = Request::new(body);
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.uri.clone();
    let headers = message.headers_mut();
    headers.clone_from(&request.headers);
    headers.insert(H::DEADLINE_MS, request.remaining_ms());
    headers.insert(header::CALLER, header::value(&request.caller.to_string()));
    headers.remove(header::CUSTOMER_CHECKED);
    if request.has_checked_customer {
        headers.insert(header::CUSTOMER_CHECKED, HeaderValue::from_static("1"));
    }
    let active = state.active().configuration;
    let version = active.map_or(0, |configuration| configuration.version.0);
    headers.insert(header::CONFIGURATION, HeaderValue::from(version));
    message
}

async fn answer<H: HeaderCodec>(
    response: Response<Incoming>,
    guard: ExchangeGuard,
    request: &AttemptRequest,
    held_bytes: usize,
    wait_until: Instant,
) -> HelperResult {
    let refusal = match header::text(response.headers(), &header::OUTCOME) {
        Some(CANNOT_FORWARD) => Some(HelperResult::CannotForward),
        Some(BEHIND) => Some(HelperResult::Behind),
        _ => None,
    };
    if let Some(refusal) = refusal {
        let body = Limited::new(response.into_body(), MAX_REFUSAL_BYTES).collect();
        let timeout = tokio::time::timeout(REFUSAL_BODY_TIMEOUT, body);
        if matches!(timeout.await, Ok(Ok(_))) {
            guard.complete();
        }
        return refusal;
    }
    if response.headers().get(H::REQUEST_ID) != Some(&request.id) {
        return HelperResult::Unknown { timed_out: false };
    }
    let (mut parts, incoming) = response.into_parts();
    parts.headers = header::end_to_end(&parts.headers);
    parts.headers.remove(header::OUTCOME);
    match receive(incoming, held_bytes, wait_until).await {
        Ok(ReceivedBody::Whole(bytes)) => {
            guard.complete();
            let body = AnswerBody::whole(bytes);
            HelperResult::Answer(Response::from_parts(parts, body))
        }
        Ok(ReceivedBody::Long(held, incoming)) => {
            let body = AnswerBody::stream(held, incoming, MAX_ANSWER_BYTES, wait_until, guard);
            HelperResult::Answer(Response::from_parts(parts, body))
        }
        Err(AttemptEnd::TimedOut) => {
            guard.timed_out();
            HelperResult::Unknown { timed_out: true }
        }
        Err(AttemptEnd::Broken) => HelperResult::Unknown { timed_out: false },
    }
}
