use tokio::time::Instant;

use crate::{NoSlot, SlotGrant, Ticket};

/// Result of a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A slot was free and is now taken.
    Granted(SlotGrant),
    /// The request waits. [`PoolCore::take_granted`](crate::PoolCore::take_granted) returns its
    /// ticket once it has a slot.
    Queued {
        /// Key of the waiting request.
        ticket: Ticket,
        /// Time after which the request could not finish before its deadline.
        give_up_at: Instant,
    },
    /// The request is refused.
    Refused(NoSlot),
}
