use std::time::Duration;

/// How the attempt that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream sent a complete answer.
    Answered {
        /// Time from sending the request to the end of the answer.
        latency: Duration,
    },
    /// The upstream shed the request and said that it did not run it.
    Shed,
    /// The connection was refused.
    Refused,
    /// The connection broke during the attempt.
    Failed,
    /// The deadline passed without an answer.
    TimedOut,
    /// This instance aborted the attempt after it had sent the request. The upstream may continue
    /// to run it for a moment.
    Aborted,
    /// Nothing was sent, so the attempt says nothing about the upstream.
    Cancelled,
}
