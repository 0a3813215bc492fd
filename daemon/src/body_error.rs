use derive_more::{Display, Error, From};

/// Reports why a body ended early.
#[derive(Debug, Display, Error, From)]
pub enum BodyError {
    /// The connection broke.
    #[display("connection broke within a body: {_0}")]
    Broken(hyper::Error),
    /// The body is longer than the service allows.
    #[display("body is longer than its service allows")]
    #[from(skip)]
    TooLong,
    /// The deadline passed within the body.
    #[display("deadline passed within a body")]
    #[from(skip)]
    TimedOut,
}
