//! One attempt to get a request answered, by an upstream or by another instance.

use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode};
use laburnumdeal_model::{InstanceId, UpstreamId};
use laburnumdeal_policy::{NotRunProof, Slot};

use crate::answer_body::AnswerBody;
use crate::connection_pool::Freshness;
use crate::exchange;
use crate::exchange_error::ExchangeError;
use crate::exchange_guard::UpstreamSlot;
use crate::fault_points::{FaultPoint, InjectedFault};
use crate::header;
use crate::prepared_request::PreparedRequest;
use crate::request_body::RequestBody;
use crate::role::Role;
use crate::state::State;

/// Retry-after time for a refusal that proves the request did not run but names no time itself.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Divisor of the remaining time that gives the margin kept back when a request is forwarded.
const HOP_MARGIN_DIVISOR: u64 = 10;

/// Maximum margin that is kept back when a request is forwarded, in milliseconds.
const MAX_HOP_MARGIN_MS: u64 = 100;

/// How one attempt ended.
#[derive(Debug)]
pub enum Attempt {
    /// The answer has arrived, whole or with its body still streaming.
    Answered(Response<AnswerBody>),
    /// Another instance rejected the request as malformed; it did not run.
    Rejected(Response<AnswerBody>),
    /// The attempt proved that the request did not run.
    NotRun {
        /// What proves it.
        proof: NotRunProof,
        /// Why it did not run.
        reason: String,
        /// Time after which a retry makes sense.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Why the outcome is unknown.
        reason: String,
    },
}

/// Sends a request to an upstream, using a slot that was acquired for it.
pub async fn send_to_upstream(state: &State, prepared: &PreparedRequest, slot: Slot) -> Attempt {
    let upstream = slot.upstream();
    let name = &state.topology.upstream(upstream).name;
    let Some(body) = prepared.take_body() else {
        return body_already_sent();
    };
    let request = upstream_request(state, prepared, upstream, body);
    let pool = state.upstream_connections(upstream);
    let in_flight = state
        .in_flight_requests
        .start(upstream, prepared.fingerprint);
    let upstream_slot = UpstreamSlot { slot, in_flight };
    let sent = exchange::send(
        pool,
        freshness(prepared),
        request,
        prepared.deadline,
        Some(upstream_slot),
    );
    let (response, guard) = match sent.await {
        Ok(answered) => answered,
        Err(failure) => return from_exchange_error(state, name, failure.error),
    };
    state.fault_points.pause_at(FaultPoint::AnswerHead).await;
    if is_shed(&response) {
        guard.shed();
        return reported_not_run("upstream shed the request", retry_after(&response));
    }
    let received = exchange::receive(
        response,
        guard,
        prepared.max_answer_bytes,
        prepared.deadline,
    )
    .await;
    match received {
        Ok(mut response) => {
            header::strip_reserved(response.headers_mut());
            response
                .headers_mut()
                .insert(header::UPSTREAM, header::value(name));
            Attempt::Answered(response)
        }
        Err(error) => from_exchange_error(state, name, error),
    }
}

/// Forwards a request to another instance, which serves it within the limits of `role`.
pub async fn send_to_peer(
    state: &State,
    prepared: &PreparedRequest,
    peer: InstanceId,
    role: Role,
) -> Attempt {
    let Some(body) = prepared.take_body() else {
        return body_already_sent();
    };
    let request = peer_request(state, prepared, peer, role, body);
    let pool = state.peer_connections(peer);
    let sent = exchange::send(pool, freshness(prepared), request, prepared.deadline, None);
    let name = &state.topology.instance(peer).name;
    let (response, guard) = match sent.await {
        Ok(answered) => answered,
        Err(failure) => return from_exchange_error(state, name, failure.error),
    };
    let outcome = header::text(response.headers(), &header::OUTCOME).map(str::to_owned);
    let reason = header::text(response.headers(), &header::REASON)
        .unwrap_or("")
        .to_owned();
    let retry_after = retry_after(&response);
    let received = exchange::receive(
        response,
        guard,
        prepared.max_answer_bytes,
        prepared.deadline,
    )
    .await;
    match (received, outcome.as_deref()) {
        (Ok(response), Some("not-run")) if response.status().is_client_error() => {
            Attempt::Rejected(response)
        }
        (_, Some("not-run")) => reported_not_run(&reason, retry_after),
        (Ok(response), Some("answer")) => Attempt::Answered(response),
        (Ok(_), _) => Attempt::Unknown { reason },
        (Err(error), _) => from_exchange_error(state, name, error),
    }
}

fn upstream_request(
    state: &State,
    prepared: &PreparedRequest,
    upstream: UpstreamId,
    body: RequestBody,
) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = prepared.method.clone();
    *request.uri_mut() = prepared.path.parse().expect("a received path parses");
    *request.headers_mut() = prepared.headers.clone();
    let address = state.topology.upstream(upstream).address.to_string();
    let headers = request.headers_mut();
    headers.insert(http::header::HOST, header::value(&address));
    headers.insert(
        header::UPSTREAM_DEADLINE_MS,
        HeaderValue::from(prepared.remaining_ms()),
    );
    headers.insert(header::REQUEST_ID, header::value(&prepared.request_id));
    request
}

fn peer_request(
    state: &State,
    prepared: &PreparedRequest,
    peer: InstanceId,
    role: Role,
    body: RequestBody,
) -> Request<RequestBody> {
    let mut request = Request::new(body);
    *request.method_mut() = prepared.method.clone();
    *request.uri_mut() = prepared.path.parse().expect("a received path parses");
    *request.headers_mut() = prepared.headers.clone();
    let headers = request.headers_mut();
    headers.insert(
        http::header::HOST,
        header::value(&state.topology.instance(peer).name),
    );
    let service = &state.topology.service(prepared.service).name;
    headers.insert(header::SERVICE, header::value(service));
    headers.insert(
        header::DEADLINE_MS,
        HeaderValue::from(forwarded_deadline_ms(prepared)),
    );
    headers.insert(header::REQUEST_ID, header::value(&prepared.request_id));
    headers.insert(header::CALLER, header::value(&prepared.caller.to_string()));
    headers.insert(header::ROLE, header::value(&role.to_string()));
    if let Some(key) = &prepared.key {
        headers.insert(header::KEY, header::value(key));
    }
    state.add_proof_headers(peer, headers);
    request
}

/// Returns the deadline for the other instance: less than the remaining time, so that its refusal
/// arrives before this instance times out without one.
fn forwarded_deadline_ms(prepared: &PreparedRequest) -> u64 {
    let remaining_ms = prepared.remaining_ms();
    let margin_ms = (remaining_ms / HOP_MARGIN_DIVISOR).min(MAX_HOP_MARGIN_MS);
    (remaining_ms - margin_ms).max(1)
}

/// Returns the freshness that a request needs: a non-idempotent one needs a recently active
/// connection, and one whose body cannot be sent again needs a new one.
fn freshness(prepared: &PreparedRequest) -> Freshness {
    if !prepared.is_replayable() {
        Freshness::New
    } else if prepared.idempotent {
        Freshness::Any
    } else {
        Freshness::RecentlyActive
    }
}

fn from_exchange_error(state: &State, name: &str, error: ExchangeError) -> Attempt {
    let reason = format!("{name}: {error}");
    let retry_after = DEFAULT_RETRY_AFTER;
    match error {
        ExchangeError::Refused(_) => Attempt::NotRun {
            proof: NotRunProof::ConnectionRefused,
            reason,
            retry_after,
        },
        ExchangeError::NotSent => Attempt::NotRun {
            proof: NotRunProof::NoByteLeft,
            reason,
            retry_after,
        },
        ExchangeError::Broken(_)
            if state
                .fault_points
                .is_injected(InjectedFault::BrokenIsNotRun) =>
        {
            Attempt::NotRun {
                proof: NotRunProof::ConnectionRefused,
                reason,
                retry_after,
            }
        }
        ExchangeError::Broken(_)
        | ExchangeError::InvalidStatus { .. }
        | ExchangeError::TimedOut => Attempt::Unknown { reason },
    }
}

fn body_already_sent() -> Attempt {
    Attempt::NotRun {
        proof: NotRunProof::NoByteLeft,
        reason: "the body was sent once and is not held".to_owned(),
        retry_after: DEFAULT_RETRY_AFTER,
    }
}

fn reported_not_run(reason: &str, retry_after: Duration) -> Attempt {
    Attempt::NotRun {
        proof: NotRunProof::Shed,
        reason: reason.to_owned(),
        retry_after,
    }
}

fn is_shed<B>(response: &Response<B>) -> bool {
    response.status() == StatusCode::SERVICE_UNAVAILABLE
        && response.headers().contains_key(header::LOAD_SHED)
}

fn retry_after<B>(response: &Response<B>) -> Duration {
    let millis = header::text(response.headers(), &header::RETRY_AFTER_MS)
        .and_then(|text| text.parse().ok())
        .map(Duration::from_millis);
    let seconds = || {
        header::text(response.headers(), &http::header::RETRY_AFTER)
            .and_then(|text| text.parse().ok())
            .map(Duration::from_secs)
    };
    millis.or_else(seconds).unwrap_or(DEFAULT_RETRY_AFTER)
}
