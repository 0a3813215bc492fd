use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

/// Proof that a request did not run on an upstream.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum NotRunProof {
    /// No byte of the request was sent.
    #[display("no byte left")]
    NoByteLeft,
    /// The connection was refused.
    #[display("connection refused")]
    ConnectionRefused,
    /// The upstream reported that it shed the request.
    #[display("shed by the upstream")]
    Shed,
}

/// A request whose last attempt failed.
#[derive(Clone, Copy, Debug)]
pub struct RetryRequest {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Proof that the failed attempt did not run.
    pub proof: Option<NotRunProof>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Maximum number of attempts.
    pub max_attempts: u32,
    /// Time by which the complete answer must have arrived.
    pub deadline: Instant,
    /// Minimum time that a further attempt needs to finish.
    pub min_attempt: Duration,
}

/// Returns whether a request may be attempted again. The retry budget is not checked here.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use laburnumdeal_policy::{NotRunProof, RetryRequest, may_retry};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut request = RetryRequest {
///     idempotent: false,
///     proof: None,
///     attempts: 1,
///     max_attempts: 3,
///     deadline: now + Duration::from_secs(1),
///     min_attempt: Duration::from_millis(5),
/// };
/// assert!(!may_retry(&request, now));
/// request.proof = Some(NotRunProof::Shed);
/// assert!(may_retry(&request, now));
/// ```
pub fn may_retry(request: &RetryRequest, now: Instant) -> bool {
    let is_safe = request.idempotent || request.proof.is_some();
    let has_time = now + request.min_attempt < request.deadline;
    is_safe && has_time && request.attempts < request.max_attempts
}
