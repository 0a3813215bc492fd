use std::io;
use std::net::{IpAddr, SocketAddr};

use tokio::net::{TcpSocket, TcpStream};

use crate::link_faults::{LinkFault, LinkFaults};

/// Opens TCP connections. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Dialer {
    /// Address that connections come from; `None` for any.
    source: Option<IpAddr>,
    /// Length of the buffers of a connection; `None` for the default of the system.
    window_bytes: Option<u32>,
    faults: LinkFaults,
}

impl Dialer {
    /// Returns a dialer whose connections meet the faults of links that a test sets.
    pub fn with_faults(faults: LinkFaults) -> Self {
        Self {
            faults,
            ..Self::default()
        }
    }

    /// Sets the length of the buffers, which bounds the bytes under way on a connection in both
    /// directions.
    pub fn with_window(mut self, window_bytes: Option<usize>) -> Self {
        self.window_bytes = window_bytes.and_then(|bytes| u32::try_from(bytes).ok());
        self
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
            Some(LinkFault::Delay(time)) => tokio::time::sleep(time).await,
            Some(LinkFault::Refuse) => return Err(io::ErrorKind::ConnectionRefused.into()),
        }
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        if let Some(window_bytes) = self.window_bytes {
            socket.set_recv_buffer_size(window_bytes)?;
            socket.set_send_buffer_size(window_bytes)?;
        }
        if let Some(source) = self.source {
            socket.bind(SocketAddr::new(source, 0))?;
        }
        socket.connect(address).await
    }
}
