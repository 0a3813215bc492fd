use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port of a [`Loopback`]; below the range of ephemeral ports of outgoing connections.
const FIRST_PORT: u16 = 7_001;

/// Allocates ports on a loopback address that no other test or process uses.
#[derive(Debug)]
pub struct Loopback {
    address: Ipv4Addr,
    next_port: u16,
}

impl Loopback {
    /// Returns an allocator on an address that this process has not used before.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_tests::Loopback;
    ///
    /// let mut loopback = Loopback::new();
    /// assert!(loopback.address().ip().is_loopback());
    /// ```
    pub fn new() -> Self {
        static NEXT: AtomicU16 = AtomicU16::new(1);
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let [round, last] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
        Self {
            address: Ipv4Addr::new(127, 64 | ((high ^ round) & 63), low, last),
            next_port: FIRST_PORT,
        }
    }

    /// Returns the next free address.
    pub fn address(&mut self) -> SocketAddr {
        let port = self.next_port;
        self.next_port += 1;
        SocketAddr::new(IpAddr::V4(self.address), port)
    }
}

impl Default for Loopback {
    fn default() -> Self {
        Self::new()
    }
}
