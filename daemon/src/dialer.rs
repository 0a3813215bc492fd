use std::io;
use std::net::SocketAddr;

use tokio::net::TcpStream;

use crate::link_faults::{LinkFault, LinkFaults};

/// Opens TCP connections. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Dialer {
    faults: LinkFaults,
}

impl Dialer {
    /// Returns a dialer whose connections meet the faults of links that a test sets.
    pub fn with_faults(faults: LinkFaults) -> Self {
        Self { faults }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let (address, fault) = self.faults.link(address);
        match fault {
            None => TcpStream::connect(address).await,
            Some(LinkFault::Hang) => std::future::pending().await,
            Some(LinkFault::Refuse) => Err(io::ErrorKind::ConnectionRefused.into()),
        }
    }
}
