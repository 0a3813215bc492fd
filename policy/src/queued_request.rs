use laburnumdeal_model::UpstreamId;
use tokio::time::Instant;

use crate::Ticket;

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub(crate) struct QueuedRequest {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Time after which the request could not finish before its deadline.
    pub give_up_at: Instant,
    /// Time until which the request may wait for a faster upstream while a slower one has free
    /// slots.
    pub wait_until: Option<Instant>,
    /// Upstreams that the request may not use.
    pub exclude: Box<[UpstreamId]>,
}
