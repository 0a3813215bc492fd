use derive_more::{Display, Error};

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
    /// The deadline passed without an answer.
    #[display("no answer before the deadline")]
    TimedOut,
}
