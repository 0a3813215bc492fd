use std::io;
use std::net::{IpAddr, SocketAddr};

use tokio::net::{TcpSocket, TcpStream};

use crate::link_faults::{LinkFault, LinkFaults};

/// Opens TCP connections. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Dialer {
    /// Address that connections come from; `None` for any.
    source: Option<IpAddr>,
    faults: LinkFaults,
}

impl Dialer {
    /// Returns a dialer whose connections meet the faults of links that a test sets.
    pub fn with_faults(faults: LinkFaults) -> Self {
        Self {
            source: None,
            faults,
        }
    }

    /// Returns a dialer whose connections come from an address of this machine.
    pub fn from_address(source: IpAddr) -> Self {
        Self {
            source: Some(source),
            ..Self::default()
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let (address, fault) = self.faults.link(address);
        match fault {
            None => {}
            Some(LinkFault::Hang) => std::future::pending().await,
            Some(LinkFault::Refuse) => return Err(io::ErrorKind::ConnectionRefused.into()),
        }
        let Some(source) = self.source else {
            return TcpStream::connect(address).await;
        };
        let socket = match source {
            IpAddr::V4(_) => TcpSocket::new_v4()?,
            IpAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(address).await
    }
}
