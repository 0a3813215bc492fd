use laburnumdeal_policy::{AttemptOutcome, Slot};
use tokio::time::Instant;

use crate::connection::Connection;
use crate::connection_pool::ConnectionPool;
use crate::flights::Flight;

/// What an exchange holds until its answer has arrived whole: a connection, and the place on an
/// upstream when the other side is one. Dropping it closes the connection and cuts the exchange off.
#[derive(Debug)]
pub struct ExchangeGuard {
    connection: Connection,
    pool: ConnectionPool,
    place: Option<Place>,
    started_at: Instant,
    was_live: bool,
}

/// Place of a request on an upstream.
#[derive(Debug)]
pub struct Place {
    /// Slot that the request holds.
    pub slot: Slot,
    /// Entry in the register of requests in flight.
    pub flight: Flight,
}

impl Place {
    /// Gives the place up.
    pub fn end(self, ending: AttemptOutcome) {
        self.slot.finish(ending);
    }
}

impl ExchangeGuard {
    /// Returns a guard for an exchange that starts now.
    pub fn new(connection: Connection, pool: ConnectionPool, mut place: Option<Place>) -> Self {
        if let Some(place) = &mut place {
            place.slot.mark_sent();
        }
        let was_live = connection.is_proved_live();
        Self {
            connection,
            pool,
            place,
            started_at: Instant::now(),
            was_live,
        }
    }

    /// Returns the connection.
    pub fn connection(&mut self) -> &mut Connection {
        &mut self.connection
    }

    /// Ends the exchange whole: the connection may carry the next one.
    pub fn complete(self) {
        if let Some(place) = self.place {
            place.flight.completed();
            place.slot.finish(AttemptOutcome::Answered {
                latency: self.started_at.elapsed(),
            });
        }
        self.pool.release(self.connection);
    }

    /// Ends the exchange because no byte of the request left.
    pub fn not_sent(self) {
        if let Some(place) = self.place {
            place.end(AttemptOutcome::Cancelled);
        }
    }

    /// Ends the exchange because the other side shed the request.
    pub fn shed(self) {
        if let Some(place) = self.place {
            place.end(AttemptOutcome::Shed);
        }
    }

    /// Ends the exchange because it broke. A connection that had been idle for long may have been
    /// closed for that alone, so it is no sign of a crash.
    pub fn fail(self) {
        let Some(place) = self.place else {
            return;
        };
        if self.was_live {
            place.flight.crashed();
            place.slot.finish(AttemptOutcome::Failed);
        } else {
            place.end(AttemptOutcome::Cancelled);
        }
    }

    /// Ends the exchange because nothing came back; connections of the same age are distrusted.
    pub fn timed_out(self) {
        self.pool.retire(self.connection.opened_at());
        if let Some(place) = self.place {
            place.end(AttemptOutcome::TimedOut);
        }
    }
}
