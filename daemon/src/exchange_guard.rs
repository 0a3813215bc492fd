use laburnumdeal_policy::{Ending, Slot};
use tokio::time::Instant;

use crate::connection::Connection;
use crate::connection_pool::ConnectionPool;

/// What an exchange holds until its answer has arrived whole: a connection, and a slot when the
/// other side is an upstream. Dropping it closes the connection and frees the slot.
#[derive(Debug)]
pub struct ExchangeGuard {
    connection: Connection,
    pool: ConnectionPool,
    slot: Option<Slot>,
    started_at: Instant,
}

impl ExchangeGuard {
    /// Returns a guard for an exchange that starts now.
    pub fn new(connection: Connection, pool: ConnectionPool, slot: Option<Slot>) -> Self {
        Self { connection, pool, slot, started_at: Instant::now() }
    }

    /// Returns the connection.
    pub fn connection(&mut self) -> &mut Connection {
        &mut self.connection
    }

    /// Ends the exchange whole: the connection may carry the next one.
    pub fn complete(self) {
        if let Some(slot) = self.slot {
            slot.finish(Ending::Answered { latency: self.started_at.elapsed() });
        }
        self.pool.put(self.connection);
    }

    /// Ends the exchange because the other side shed the request.
    pub fn shed(self) {
        if let Some(slot) = self.slot {
            slot.finish(Ending::Shed);
        }
    }

    /// Ends the exchange because it broke.
    pub fn fail(self) {
        if let Some(slot) = self.slot {
            slot.finish(Ending::Failed);
        }
    }

    /// Ends the exchange because nothing came back; connections of the same age are distrusted.
    pub fn silent(self) {
        self.pool.retire(self.connection.opened_at());
        if let Some(slot) = self.slot {
            slot.finish(Ending::Silent);
        }
    }
}
