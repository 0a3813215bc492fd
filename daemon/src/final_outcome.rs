use std::time::Duration;

use http::{HeaderValue, Response, StatusCode};
use laburnumdeal_policy::Outcome;

use crate::answer_body::AnswerBody;
use crate::header;

/// Final outcome of a request, as this instance reports it.
#[derive(Debug)]
pub enum FinalOutcome {
    /// The answer of an upstream.
    Answer(Response<AnswerBody>),
    /// Another instance rejected the request; it did not run.
    Rejected(Response<AnswerBody>),
    /// The request did not run and never will under its key.
    NotRun {
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

impl FinalOutcome {
    /// Returns the kind of outcome, without its details.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Answer(_) => Outcome::Answer,
            Self::NotRun { .. } | Self::Rejected(_) => Outcome::NotRun,
            Self::Unknown { .. } => Outcome::Unknown,
        }
    }

    /// Returns a refusal with a retry-after time.
    pub fn not_run(reason: impl Into<String>, retry_after: Duration) -> Self {
        Self::NotRun {
            reason: reason.into(),
            retry_after,
        }
    }

    /// Returns an unknown outcome with its reason.
    pub fn unknown(reason: impl Into<String>) -> Self {
        Self::Unknown {
            reason: reason.into(),
        }
    }

    /// Returns the HTTP response, with the outcome in its headers.
    pub fn into_response(self) -> Response<AnswerBody> {
        let outcome = header::value(&self.outcome().to_string());
        let mut response = match self {
            Self::Answer(response) | Self::Rejected(response) => response,
            Self::NotRun {
                reason,
                retry_after,
            } => not_run_response(&reason, retry_after),
            Self::Unknown { reason } => {
                let text = format!("the outcome is unknown: {reason}\n");
                text_response(StatusCode::GATEWAY_TIMEOUT, &text, &reason)
            }
        };
        response.headers_mut().insert(header::OUTCOME, outcome);
        response
    }
}

fn not_run_response(reason: &str, retry_after: Duration) -> Response<AnswerBody> {
    let text = format!("the request did not run: {reason}\n");
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, &text, reason);
    let seconds = retry_after.as_millis().div_ceil(1_000).max(1) as u64;
    let millis = retry_after.as_millis().max(1) as u64;
    let headers = response.headers_mut();
    headers.insert(http::header::RETRY_AFTER, HeaderValue::from(seconds));
    headers.insert(header::RETRY_AFTER_MS, HeaderValue::from(millis));
    response
}

/// Returns a plain-text response with `reason` in its header.
pub fn text_response(status: StatusCode, text: &str, reason: &str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(text.to_owned()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    headers.insert(http::header::CONTENT_TYPE, plain);
    headers.insert(header::REASON, header::value(reason));
    response
}
