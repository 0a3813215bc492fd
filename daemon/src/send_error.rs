use derive_more::{Display, Error};
use http::Request;

use crate::exchange_error::ExchangeError;
use crate::request_body::RequestBody;

/// Reports why a request got no answer, and returns it if no byte of it was sent.
#[derive(Debug, Display, Error)]
#[display("{error}")]
pub struct SendError {
    /// What failed.
    #[error(source)]
    pub error: ExchangeError,
    /// The request with its whole body; `None` if bytes of it may have been sent.
    pub unsent: Option<Box<Request<RequestBody>>>,
}

impl SendError {
    /// Returns the error for a request of which no byte was sent.
    pub fn not_sent(error: ExchangeError, request: Request<RequestBody>) -> Self {
        Self {
            error,
            unsent: Some(Box::new(request)),
        }
    }

    /// Returns the body of the request if no byte of it was sent.
    pub fn into_unsent_body(self) -> Option<RequestBody> {
        self.unsent.map(|request| request.into_body())
    }
}

impl From<ExchangeError> for SendError {
    fn from(error: ExchangeError) -> Self {
        Self {
            error,
            unsent: None,
        }
    }
}
