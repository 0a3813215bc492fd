use std::time::Duration;

use derive_more::{Display, Error};

/// Refusal of a slot. Nothing was sent to an upstream.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("no slot: {reason}; retry after {} ms", retry_after.as_millis())]
pub struct NoSlot {
    /// Why there is none.
    pub reason: NoSlotReason,
    /// Time after which the queue is expected to have drained.
    pub retry_after: Duration,
}

/// Why a slot was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NoSlotReason {
    /// The instance owns no upstream of the service that takes work and is not excluded.
    #[display("no upstream of the service takes work here")]
    NoUpstream,
    /// As many requests wait as may.
    #[display("the queue of the service is full")]
    QueueFull,
    /// The request would wait so long that its deadline passes before an answer.
    #[display("the request cannot finish before its deadline")]
    Deadline,
}
