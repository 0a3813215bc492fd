use derive_more::{Display, Error, From};

/// Reports why the body of a request or an answer was cut off.
#[derive(Debug, Display, Error, From)]
pub enum BodyError {
    /// The connection broke.
    #[display("connection broke within a body: {_0}")]
    Broken(hyper::Error),
    /// The body is longer than the service allows.
    #[display("body is longer than its service allows")]
    #[from(skip)]
    TooLong,
    /// The deadline passed before the body was complete.
    #[display("deadline passed within a body")]
    #[from(skip)]
    TimedOut,
}
