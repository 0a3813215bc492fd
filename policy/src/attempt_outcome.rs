use std::time::Duration;

/// How the exchange that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream sent a whole answer.
    Answered {
        /// Time from sending the request to the end of the answer.
        latency: Duration,
    },
    /// The upstream said that it did not run the request.
    Shed,
    /// The connection was refused.
    Refused,
    /// The connection broke during the exchange.
    Failed,
    /// The deadline passed without an answer.
    TimedOut,
    /// This side cut the exchange off after the request had left; the upstream may go on with it
    /// for a moment.
    Aborted,
    /// Nothing was sent; nothing is known about the upstream.
    Cancelled,
}
