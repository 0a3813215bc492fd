//! Conversion of claim results into final outcomes, and of answers into stored answers for repeated
//! requests.

use std::time::Duration;

use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use laburnumdeal_policy::{ClaimResult, FenceReply, StoredAnswer};

use crate::answer_body::AnswerBody;
use crate::final_outcome::FinalOutcome;
use crate::request_error::RequestError;

/// Retry-after time, with a new key, once a key is fenced.
const FENCED_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Longest answer that is stored for repeated requests.
const MAX_STORED_ANSWER_BYTES: usize = 256 * 1024;

/// Why an answer is not stored.
pub enum NotStored {
    /// It is too long, or its length is unknown; it is streamed to the caller.
    Streamed(Response<AnswerBody>),
    /// It was truncated.
    Broken,
}

/// Buffers an answer for storage, or returns why it is not stored.
pub async fn to_stored_answer(response: Response<AnswerBody>) -> Result<StoredAnswer, NotStored> {
    use http_body::Body;
    let is_short = response
        .body()
        .size_hint()
        .exact()
        .is_some_and(|bytes| bytes <= MAX_STORED_ANSWER_BYTES as u64);
    if !is_short {
        return Err(NotStored::Streamed(response));
    }
    let (parts, body) = response.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| NotStored::Broken)?
        .to_bytes();
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

/// Returns the final outcome that follows from the reply to a fence.
///
/// # Errors
///
/// Returns [`RequestError::KeyReused`] when the key belongs to another request.
pub fn from_fence_reply(reply: FenceReply) -> Result<FinalOutcome, RequestError> {
    match reply {
        FenceReply::Fenced => Ok(fenced_outcome()),
        FenceReply::Claimed => Ok(already_ran_outcome()),
        FenceReply::Finished(answer) => Ok(from_claim_result(ClaimResult::Answer(answer))),
        FenceReply::KeyReused => Err(RequestError::KeyReused),
        FenceReply::Unknown(reason) => Ok(FinalOutcome::unknown(reason.to_string())),
    }
}

/// Returns the final outcome that follows from the end of a claimed request.
pub fn from_claim_result(result: ClaimResult) -> FinalOutcome {
    match result {
        ClaimResult::Answer(answer) => {
            to_response(&answer).map_or_else(already_ran_outcome, FinalOutcome::Answer)
        }
        ClaimResult::NotRun => fenced_outcome(),
        ClaimResult::Unknown => already_ran_outcome(),
    }
}

/// Returns the outcome for a fenced key, which never runs.
pub fn fenced_outcome() -> FinalOutcome {
    FinalOutcome::not_run(
        "the key was not claimed and never will be; use a new key",
        FENCED_RETRY_AFTER,
    )
}

/// Returns the outcome for a key that may have run and has no stored answer.
pub fn already_ran_outcome() -> FinalOutcome {
    FinalOutcome::unknown("the request was sent to an upstream and its answer is not kept")
}

fn to_response(answer: &StoredAnswer) -> Option<Response<AnswerBody>> {
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
