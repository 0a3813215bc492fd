//! One HTTP exchange with an upstream or a peer: a request and its whole answer.

use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use laburnumdeal_policy::AttemptOutcome;
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::connection_pool::{ConnectionPool, Freshness};
use crate::exchange_error::ExchangeError;
use crate::exchange_guard::{ExchangeGuard, UpstreamSlot};
use crate::header;
use crate::request_body::RequestBody;
use crate::send_error::SendError;

/// Longest answer that is buffered whole before its first byte goes to the caller.
const MAX_BUFFERED_ANSWER_BYTES: u64 = 64 * 1024;

/// Sends a request and returns the head of its answer with the guard of the exchange.
///
/// # Errors
///
/// Returns how the exchange failed, with the request if no byte of it was sent; the slot is released
/// and the upstream's health updated accordingly.
pub async fn send(
    pool: &ConnectionPool,
    freshness: Freshness,
    request: Request<RequestBody>,
    deadline: Instant,
    upstream_slot: Option<UpstreamSlot>,
) -> Result<(Response<Incoming>, ExchangeGuard), SendError> {
    let connection = match pool.acquire(freshness, deadline).await {
        Ok(connection) => connection,
        Err(error) => {
            release(upstream_slot, AttemptOutcome::Refused);
            return Err(SendError::not_sent(error, request));
        }
    };
    let mut guard = ExchangeGuard::new(connection, pool.clone(), upstream_slot);
    match guard.connection().send(request, deadline).await {
        Ok(response) => Ok((response, guard)),
        Err(failure) => {
            match failure.error {
                ExchangeError::TimedOut => guard.timed_out(),
                ExchangeError::NotSent => guard.not_sent(),
                ExchangeError::Broken(_)
                | ExchangeError::InvalidStatus { .. }
                | ExchangeError::Refused(_) => guard.fail(),
            }
            Err(failure)
        }
    }
}

/// Receives the rest of an answer. A short answer is buffered whole, so that a truncated one never
/// reaches a caller as if it were complete.
///
/// # Errors
///
/// Returns [`ExchangeError::TimedOut`] or [`ExchangeError::Broken`] when a short answer is
/// truncated.
pub async fn receive(
    response: Response<Incoming>,
    guard: ExchangeGuard,
    max_bytes: u64,
    deadline: Instant,
) -> Result<Response<AnswerBody>, ExchangeError> {
    let (mut parts, incoming) = response.into_parts();
    parts.headers = header::end_to_end(&parts.headers);
    if incoming
        .size_hint()
        .exact()
        .is_none_or(|bytes| bytes > MAX_BUFFERED_ANSWER_BYTES)
    {
        let body = AnswerBody::stream(Bytes::new(), incoming, max_bytes, deadline, guard);
        return Ok(Response::from_parts(parts, body));
    }
    match tokio::time::timeout_at(deadline, incoming.collect()).await {
        Ok(Ok(collected)) => {
            guard.complete();
            Ok(Response::from_parts(
                parts,
                AnswerBody::whole(collected.to_bytes()),
            ))
        }
        Ok(Err(error)) => {
            guard.fail();
            Err(ExchangeError::Broken(error))
        }
        Err(_) => {
            guard.timed_out();
            Err(ExchangeError::TimedOut)
        }
    }
}

fn release(upstream_slot: Option<UpstreamSlot>, outcome: AttemptOutcome) {
    if let Some(upstream_slot) = upstream_slot {
        upstream_slot.release(outcome);
    }
}
