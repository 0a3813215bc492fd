use tokio::time::Instant;

use crate::{NoSlot, SlotGrant, Ticket};

/// What a request for a slot leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// A slot was free.
    Granted(SlotGrant),
    /// The request waits; [`PoolCore::take_granted`](crate::PoolCore::take_granted) tells when it has a slot.
    Queued {
        /// Key of the waiting request.
        ticket: Ticket,
        /// Time after which it could not finish before its deadline.
        give_up_at: Instant,
    },
    /// The request is refused.
    Refused(NoSlot),
}
