use std::time::Duration;

/// How the exchange that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
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
    Silent,
    /// The caller gave up; nothing is known about the upstream.
    Cancelled,
}
