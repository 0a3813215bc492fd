use laburnumdeal_model::UpstreamId;
use tokio::time::Instant;

use crate::Ticket;

/// One request that waits for a slot.
#[derive(Clone, Debug)]
pub(crate) struct Waiter {
    /// Key of the request.
    pub ticket: Ticket,
    /// Time after which it could not finish before its deadline.
    pub give_up_at: Instant,
    /// Time until which it may wait for a faster upstream while a slower one has room.
    pub hold_until: Option<Instant>,
    /// Upstreams that it may not use.
    pub exclude: Box<[UpstreamId]>,
}
