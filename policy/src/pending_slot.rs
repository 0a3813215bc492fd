use std::time::Duration;

use laburnumdeal_model::ServiceId;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::pool::Inner;
use crate::{AttemptOutcome, NoSlot, NoSlotReason, Pool, Slot, SlotGrant, Ticket};

/// Queued request for a slot. Dropping it removes the request from the queue, or frees the slot
/// that it was granted meanwhile.
pub(crate) struct PendingSlot {
    pool: Pool,
    service: ServiceId,
    ticket: Option<Ticket>,
    give_up_at: Instant,
    receiver: oneshot::Receiver<SlotGrant>,
}

impl PendingSlot {
    /// Creates the handle of the queued request with a ticket.
    pub fn new(
        pool: Pool,
        service: ServiceId,
        ticket: Ticket,
        give_up_at: Instant,
        receiver: oneshot::Receiver<SlotGrant>,
    ) -> Self {
        Self {
            pool,
            service,
            ticket: Some(ticket),
            give_up_at,
            receiver,
        }
    }

    /// Waits for the slot.
    ///
    /// # Errors
    ///
    /// Returns an error when the request could no longer finish before its deadline.
    pub async fn slot(mut self) -> Result<Slot, NoSlot> {
        loop {
            let wake_at = self.wake_at();
            match timeout_at(wake_at, &mut self.receiver).await {
                Ok(Ok(grant)) => {
                    self.ticket = None;
                    return Ok(Slot::new(self.pool.clone(), grant));
                }
                Ok(Err(_)) => return Err(self.refusal()),
                Err(_) if self.give_up() => return Err(self.refusal()),
                Err(_) => {}
            }
        }
    }

    fn wake_at(&self) -> Instant {
        let now = Instant::now();
        let next_check = |inner: &mut Inner| inner.core.next_check(self.service, now);
        self.pool.with(next_check).min(self.give_up_at)
    }

    /// Dispatches slots that have opened with time. Returns whether the request had to give up and
    /// was removed from the queue.
    fn give_up(&mut self) -> bool {
        let now = Instant::now();
        let Some(ticket) = self.ticket else {
            return false;
        };
        let is_late = now >= self.give_up_at;
        let is_removed = self.pool.with(|inner| {
            inner.core.dispatch(self.service, now);
            is_late && inner.core.cancel(self.service, ticket)
        });
        if is_removed {
            self.ticket = None;
        }
        is_removed
    }

    fn refusal(&self) -> NoSlot {
        let now = Instant::now();
        let retry_after: Duration = self
            .pool
            .with(|inner| inner.core.retry_after(self.service, now));
        NoSlot {
            reason: NoSlotReason::Deadline,
            retry_after,
        }
    }
}

impl Drop for PendingSlot {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        let now = Instant::now();
        let receiver = &mut self.receiver;
        let service = self.service;
        self.pool.with(|inner| match receiver.try_recv() {
            Ok(grant) => inner.core.release(grant, AttemptOutcome::Cancelled, now),
            Err(_) => {
                inner.core.cancel(service, ticket);
            }
        });
    }
}
