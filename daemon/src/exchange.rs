//! One exchange with an upstream or a peer: a request out, the whole answer back.

use http::{Request, Response};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use laburnumdeal_policy::AttemptOutcome;
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::connection_pool::{ConnectionPool, Freshness};
use crate::exchange_error::ExchangeError;
use crate::exchange_guard::{ExchangeGuard, Place};
use crate::header;
use crate::request_body::RequestBody;

/// Longest answer that is held whole before its first byte goes to the caller.
const HOLD_BYTES: u64 = 64 * 1024;

/// Sends a request and returns the head of its answer with the guard of the exchange.
///
/// # Errors
///
/// Returns how the exchange ended; the place is given up and the upstream judged accordingly.
pub async fn send(
    pool: &ConnectionPool,
    freshness: Freshness,
    request: Request<RequestBody>,
    deadline: Instant,
    place: Option<Place>,
) -> Result<(Response<Incoming>, ExchangeGuard), ExchangeError> {
    let connection = match pool.acquire(freshness, deadline).await {
        Ok(connection) => connection,
        Err(error) => {
            finish(place, AttemptOutcome::Refused);
            return Err(error);
        }
    };
    let mut guard = ExchangeGuard::new(connection, pool.clone(), place);
    match guard.connection().send(request, deadline).await {
        Ok(response) => Ok((response, guard)),
        Err(error) => {
            match error {
                ExchangeError::TimedOut => guard.timed_out(),
                ExchangeError::NotSent => guard.not_sent(),
                ExchangeError::Broken(_) | ExchangeError::Refused(_) => guard.fail(),
            }
            Err(error)
        }
    }
}

/// Receives the rest of an answer. A short one is held whole, so that an answer that breaks off
/// never reaches a caller as if it were complete.
///
/// # Errors
///
/// Returns [`ExchangeError::Silent`] or [`ExchangeError::Broken`] when a short answer breaks off.
pub async fn receive(
    response: Response<Incoming>,
    guard: ExchangeGuard,
    most_bytes: u64,
    deadline: Instant,
) -> Result<Response<AnswerBody>, ExchangeError> {
    let (mut parts, incoming) = response.into_parts();
    parts.headers = header::end_to_end(&parts.headers);
    if incoming
        .size_hint()
        .exact()
        .is_none_or(|bytes| bytes > HOLD_BYTES)
    {
        let body = AnswerBody::stream(incoming, most_bytes, deadline, guard);
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

fn finish(place: Option<Place>, ending: AttemptOutcome) {
    if let Some(place) = place {
        place.end(ending);
    }
}
