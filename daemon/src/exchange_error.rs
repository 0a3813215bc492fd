use derive_more::{Display, Error};
use http::StatusCode;

/// Reports why an exchange ended without an answer.
#[derive(Debug, Display, Error)]
pub enum ExchangeError {
    /// The connection was refused; nothing was sent.
    #[display("connection was refused: {_0}")]
    Refused(std::io::Error),
    /// No byte of the request was sent.
    #[display("no byte of the request was sent")]
    NotSent,
    /// The connection broke after bytes of the request may have been sent.
    #[display("connection broke before the answer: {_0}")]
    Broken(hyper::Error),
    /// The answer has a status that no final answer has; the request may have run.
    #[display("status {status} of the answer is not between 200 and 599")]
    InvalidStatus {
        /// Status of the answer.
        status: StatusCode,
    },
    /// The deadline passed without an answer.
    #[display("no answer before the deadline")]
    TimedOut,
}
