use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::connection::Connection;
use crate::exchange_error::ExchangeError;
use crate::request_body::RequestBody;

/// Longest time to wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Connections to one upstream or peer. Each carries one exchange at a time.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: SocketAddr,
    most_idle: usize,
    idle: Mutex<Vec<Connection>>,
    retired: Mutex<Option<Instant>>,
}

/// What a request needs of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Any open connection; the request can be sent again.
    Any,
    /// One that answered a short while ago, or a new one.
    RecentlyActive,
    /// One that answered less than this time ago, or a new one.
    ActiveWithin(Duration),
    /// A new one.
    New,
}

impl ConnectionPool {
    /// Returns a pool without connections.
    pub fn new(address: SocketAddr, most_idle: usize) -> Self {
        let (idle, retired) = (Mutex::default(), Mutex::default());
        Self {
            shared: Arc::new(Shared {
                address,
                most_idle,
                idle,
                retired,
            }),
        }
    }

    /// Returns the address that connections go to.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns an idle connection that is fresh enough, or opens one.
    ///
    /// # Errors
    ///
    /// Returns that the connection was refused or did not open in time; nothing was sent.
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

    /// Takes back a connection whose exchange ended whole.
    pub fn release(&self, mut connection: Connection) {
        connection.mark_live();
        let retired = *self.shared.retired.lock().expect("no panic while locked");
        let is_retired = retired.is_some_and(|at| connection.opened_at() <= at);
        let mut idle = self.shared.idle.lock().expect("no panic while locked");
        if !is_retired && connection.is_open() && idle.len() < self.shared.most_idle {
            idle.push(connection);
        }
    }

    /// Closes every idle connection that was opened at or before `opened_at`, and those in use
    /// when they come back. Called when one of that age went silent.
    pub fn retire(&self, opened_at: Instant) {
        let mut retired = self.shared.retired.lock().expect("no panic while locked");
        *retired = Some(retired.map_or(opened_at, |at| at.max(opened_at)));
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
                idle.retain(|connection| connection.is_open() && connection.idle_for() < age);
                idle.pop()
            }
            Freshness::RecentlyActive => {
                let newest = idle.pop_if(|connection| connection.is_proved_live());
                newest.filter(Connection::is_open)
            }
        }
    }

    async fn open(&self, deadline: Instant) -> Result<Connection, ExchangeError> {
        let until = deadline.min(Instant::now() + CONNECT_TIMEOUT);
        let connecting = TcpStream::connect(self.shared.address);
        let stream = match tokio::time::timeout_at(until, connecting).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(ExchangeError::Refused(error)),
            Err(_) => return Err(ExchangeError::NotSent),
        };
        let _ = stream.set_nodelay(true);
        let handshake = hyper::client::conn::http1::handshake::<_, RequestBody>;
        let (sender, driver) = handshake(TokioIo::new(stream))
            .await
            .map_err(|_| ExchangeError::NotSent)?;
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(Connection::new(sender, driver))
    }
}
