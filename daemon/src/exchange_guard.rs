use laburnumdeal_policy::{AttemptOutcome, Slot};
use tokio::time::Instant;

use crate::connection::Connection;
use crate::connection_pool::ConnectionPool;
use crate::in_flight_requests::InFlightRequest;
use crate::roles::{AttemptEnd, InFlightAttempt};

/// Resources that an exchange holds until its answer has arrived whole: a connection, and a slot
/// when the other side is an upstream. Dropping it closes the connection and aborts the exchange.
#[derive(Debug)]
pub struct ExchangeGuard {
    connection: Connection,
    pool: ConnectionPool,
    upstream_slot: Option<UpstreamSlot>,
    attempt: Option<Box<InFlightAttempt>>,
    started_at: Instant,
    was_recently_active: bool,
}

/// Slot of an upstream together with the entry of the request that occupies it.
#[derive(Debug)]
pub struct UpstreamSlot {
    /// Slot that the request occupies.
    pub slot: Slot,
    /// Entry in the register of in-flight requests.
    pub in_flight: InFlightRequest,
}

impl UpstreamSlot {
    /// Releases the slot.
    pub fn release(self, outcome: AttemptOutcome) {
        self.slot.finish(outcome);
    }
}

impl ExchangeGuard {
    /// Returns a guard for an exchange that starts now.
    pub fn new(
        connection: Connection,
        pool: ConnectionPool,
        mut upstream_slot: Option<UpstreamSlot>,
    ) -> Self {
        if let Some(upstream_slot) = &mut upstream_slot {
            upstream_slot.slot.mark_sent();
        }
        let was_recently_active = connection.is_recently_active();
        Self {
            connection,
            pool,
            upstream_slot,
            attempt: None,
            started_at: Instant::now(),
            was_recently_active,
        }
    }

    /// Keeps an attempt in flight until the exchange ends, as its answer is streamed.
    pub(crate) fn keep_attempt(&mut self, attempt: InFlightAttempt) {
        self.attempt = Some(Box::new(attempt));
    }

    /// Returns the connection of the exchange.
    pub fn connection(&mut self) -> &mut Connection {
        &mut self.connection
    }

    /// Returns the pool that the connection belongs to.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// Ends a complete exchange: the connection may carry the next one.
    pub fn complete(self) {
        if let Some(attempt) = self.attempt {
            attempt.complete();
        }
        if let Some(upstream_slot) = self.upstream_slot {
            upstream_slot.in_flight.complete();
            upstream_slot.slot.finish(AttemptOutcome::Answered {
                latency: self.started_at.elapsed(),
            });
        }
        self.pool.release(self.connection);
    }

    /// Ends the exchange because no byte of the request was sent.
    pub fn not_sent(self) {
        if let Some(upstream_slot) = self.upstream_slot {
            upstream_slot.release(AttemptOutcome::Cancelled);
        }
    }

    /// Ends the exchange because the other side shed the request.
    pub fn shed(self) {
        if let Some(upstream_slot) = self.upstream_slot {
            upstream_slot.release(AttemptOutcome::Shed);
        }
    }

    /// Ends the exchange because the connection broke. The other side may have closed a connection
    /// just because it was idle for long, so only the break of a recently active one counts as a
    /// sign of a crash.
    pub fn fail(self) {
        if let Some(attempt) = self.attempt {
            attempt.end(AttemptEnd::Broken);
        }
        let Some(upstream_slot) = self.upstream_slot else {
            return;
        };
        if self.was_recently_active {
            upstream_slot.in_flight.mark_crashed();
            upstream_slot.slot.finish(AttemptOutcome::Failed);
        } else {
            upstream_slot.release(AttemptOutcome::Cancelled);
        }
    }

    /// Ends the exchange because no answer arrived in time; connections that were opened no later
    /// than this one are retired from the pool.
    pub fn timed_out(self) {
        self.pool.retire(self.connection.opened_at());
        if let Some(attempt) = self.attempt {
            attempt.end(AttemptEnd::TimedOut);
        }
        if let Some(upstream_slot) = self.upstream_slot {
            upstream_slot.release(AttemptOutcome::TimedOut);
        }
    }
}
