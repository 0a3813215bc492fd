use derive_more::{Display, Error};

/// Reports how an exchange ended without an answer.
#[derive(Debug, Display, Error)]
pub enum ExchangeError {
    /// The connection was refused; nothing was sent.
    #[display("connection was refused: {_0}")]
    Refused(std::io::Error),
    /// No byte of the request left this process.
    #[display("no byte of the request was sent")]
    NotSent,
    /// The connection broke after bytes of the request may have left.
    #[display("connection broke before the answer: {_0}")]
    Broken(hyper::Error),
    /// The deadline passed without an answer.
    #[display("no answer before the deadline")]
    TimedOut,
}
