//! What the end of a claim means for the caller, and answers as they are kept for resends.

use std::time::Duration;

use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use laburnumdeal_policy::{ClaimFinish, FenceReply, StoredAnswer};

use crate::answer_body::AnswerBody;
use crate::request_error::RequestError;
use crate::served::Served;

/// Time to come back, with a fresh key, after a key was fenced.
const FENCED_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest answer that is kept for resends.
const KEPT_ANSWER_BYTES: usize = 256 * 1024;

/// Why an answer is not kept.
pub enum Held {
    /// It is long, and passed on as it arrives.
    Streams(Response<AnswerBody>),
    /// It broke off.
    Broken,
}

/// Returns the answer as it is kept for resends, or why it is not.
pub async fn hold(response: Response<AnswerBody>) -> Result<StoredAnswer, Held> {
    use http_body::Body;
    let is_short = response
        .body()
        .size_hint()
        .exact()
        .is_some_and(|bytes| bytes <= KEPT_ANSWER_BYTES as u64);
    if !is_short {
        return Err(Held::Streams(response));
    }
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(|_| Held::Broken)?.to_bytes();
    let headers = parts
        .headers
        .iter()
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect();
    Ok(StoredAnswer {
        status: parts.status.as_u16(),
        headers,
        body: body.to_vec(),
    })
}

/// Returns what a fence means for the caller.
///
/// # Errors
///
/// Returns [`RequestError::KeyReused`] when the key is of another request.
pub fn of_fence(reply: FenceReply) -> Result<Served, RequestError> {
    match reply {
        FenceReply::Fenced => Ok(fenced()),
        FenceReply::Claimed => Ok(already_ran()),
        FenceReply::Finished(answer) => Ok(finished(ClaimFinish::Answer(answer))),
        FenceReply::KeyReused => Err(RequestError::KeyReused),
        FenceReply::Unknown(reason) => Ok(Served::unknown(reason.to_string())),
    }
}

/// Returns what the end of a claimed request means for the caller.
pub fn finished(finish: ClaimFinish) -> Served {
    match finish {
        ClaimFinish::Answer(answer) => restore(&answer).map_or_else(already_ran, Served::Answer),
        ClaimFinish::NotRun => fenced(),
        ClaimFinish::Unknown => already_ran(),
    }
}

/// Returns the outcome of a key that never runs.
pub fn fenced() -> Served {
    Served::not_run(
        "the key was not claimed and never will be; use a new key",
        FENCED_RETRY_AFTER,
    )
}

/// Returns the outcome of a key that may have run without an answer that is kept.
pub fn already_ran() -> Served {
    Served::unknown("the request was sent to an upstream and its answer is not kept")
}

fn restore(answer: &StoredAnswer) -> Option<Response<AnswerBody>> {
    let mut response = Response::new(AnswerBody::whole(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).ok()?;
    for (name, value) in &answer.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        response
            .headers_mut()
            .append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(response)
}
