use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::time::Instant;

use crate::bounded_head_io::{BoundedHeadIo, HeadBudget};
use crate::connection::Connection;
use crate::dialer::Dialer;
use crate::exchange_error::ExchangeError;
use crate::request_body::RequestBody;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Most bytes of an answer that a connection reads ahead of their receiver.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

/// Pool of connections to one upstream or peer. Each connection carries one exchange at a time.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    dialer: Dialer,
    max_idle: usize,
    idle: Mutex<Vec<Connection>>,
    retired_until: Mutex<Option<Instant>>,
}

/// How recently a connection must have been active to carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Any open connection; the request can be sent again.
    Any,
    /// One that answered a short while ago (250 ms), or a new one.
    RecentlyActive,
    /// One that answered less than this time ago and within the idle time that the other side has
    /// stated, or a new one.
    ActiveWithin(Duration),
    /// A new one.
    New,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(address: SocketAddr, max_idle: usize) -> Self {
        Self::with_dialer(address, max_idle, Dialer::default())
    }

    /// Creates an empty pool whose connections are opened by `dialer`.
    pub fn with_dialer(address: SocketAddr, max_idle: usize, dialer: Dialer) -> Self {
        let (idle, retired_until) = (Mutex::default(), Mutex::default());
        Self {
            shared: Arc::new(Shared {
                address,
                dialer,
                max_idle,
                idle,
                retired_until,
            }),
        }
    }

    /// Returns the address that connections go to.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Takes an idle connection that is fresh enough, or opens one.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection is refused or does not open in time; nothing was sent.
    pub async fn acquire(
        &self,
        freshness: Freshness,
        deadline: Instant,
    ) -> Result<Connection, ExchangeError> {
        match self.take_idle(freshness) {
            Some(connection) => Ok(connection),
            None => self.open(deadline).await,
        }
    }

    /// Takes an idle connection that answered a short while ago, if there is one.
    pub fn take_recently_active(&self) -> Option<Connection> {
        self.take_idle(Freshness::RecentlyActive)
    }

    /// Takes an idle connection that answered less than `age` ago and within the idle time that the
    /// other side has stated, if there is one.
    pub fn take_active_within(&self, age: Duration) -> Option<Connection> {
        self.take_idle(Freshness::ActiveWithin(age))
    }

    /// Returns a connection to the pool after a complete exchange.
    pub fn release(&self, mut connection: Connection) {
        connection.mark_active();
        let retired_until = *self
            .shared
            .retired_until
            .lock()
            .expect("no panic while locked");
        let is_retired = retired_until.is_some_and(|at| connection.opened_at() <= at);
        let mut idle = self.shared.idle.lock().expect("no panic while locked");
        if !is_retired && connection.is_open() && idle.len() < self.shared.max_idle {
            idle.push(connection);
        }
    }

    /// Closes every idle connection that was opened at or before `opened_at`, and those in use
    /// once they are released. Called when an exchange on a connection of that age timed out.
    pub fn retire(&self, opened_at: Instant) {
        let mut retired_until = self
            .shared
            .retired_until
            .lock()
            .expect("no panic while locked");
        *retired_until = Some(retired_until.map_or(opened_at, |at| at.max(opened_at)));
        let mut idle = self.shared.idle.lock().expect("no panic while locked");
        idle.retain(|connection| connection.opened_at() > opened_at);
    }

    /// Closes the connections that have been idle for long.
    pub fn close_idle(&self) {
        let mut idle = self.shared.idle.lock().expect("no panic while locked");
        idle.retain(|connection| connection.is_open() && connection.idle_for() < IDLE_TIMEOUT);
    }

    fn take_idle(&self, freshness: Freshness) -> Option<Connection> {
        let mut idle = self.shared.idle.lock().expect("no panic while locked");
        match freshness {
            Freshness::New => None,
            Freshness::Any => {
                idle.retain(Connection::is_open);
                idle.pop()
            }
            Freshness::ActiveWithin(age) => {
                idle.retain(|connection| connection.is_open() && connection.is_active_within(age));
                idle.pop()
            }
            Freshness::RecentlyActive => {
                let newest = idle.pop_if(|connection| connection.is_recently_active());
                newest.filter(Connection::is_open)
            }
        }
    }

    async fn open(&self, deadline: Instant) -> Result<Connection, ExchangeError> {
        let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connecting = self.shared.dialer.connect(self.shared.address);
        let stream = match tokio::time::timeout_at(connect_deadline, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ExchangeError::Refused(error)),
            Err(_) => return Err(ExchangeError::NotSent),
        };
        let _ = stream.set_nodelay(true);
        let budget = HeadBudget::default();
        let mut builder = hyper::client::conn::http1::Builder::new();
        builder.max_buf_size(MAX_READ_BUFFER_BYTES);
        let io = BoundedHeadIo::new(stream, budget.clone());
        let handshake = builder.handshake::<_, RequestBody>(io);
        let (sender, driver) = handshake.await.map_err(|_| ExchangeError::NotSent)?;
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(Connection::new(sender, driver, budget))
    }
}
