use std::time::Duration;

use derive_more::{Display, Error};

/// Error for a request that gets no slot. Nothing was sent to an upstream.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no slot: {reason}; retry after {} ms", retry_after.as_millis())]
pub struct NoSlot {
    /// Reason for the refusal.
    pub reason: NoSlotReason,
    /// Time after which the queue is expected to be empty.
    pub retry_after: Duration,
}

/// Reason why a slot was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NoSlotReason {
    /// The instance owns no upstream of the service that accepts requests and is not excluded.
    #[display("no upstream of the service takes work here")]
    NoUpstream,
    /// The queue holds its maximum number of requests.
    #[display("the queue of the service is full")]
    QueueFull,
    /// The request would wait so long that its deadline passes before the answer.
    #[display("the request cannot finish before its deadline")]
    Deadline,
}
