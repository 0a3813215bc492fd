//! Faults of the links to upstreams, for tests. Without the feature `faults` all of it compiles to
//! nothing.

use std::time::Duration;

/// What happens to new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// They get no reply.
    Hang,
    /// They are refused.
    Refuse,
    /// They open after this time.
    Delay(Duration),
}

#[cfg(feature = "faults")]
mod links {
    use std::collections::HashMap;
    use std::net::SocketAddr;
    use std::sync::{Arc, Mutex};

    use super::LinkFault;

    /// Faults of the links from one instance to upstreams. Cheap to clone; clones share their
    /// faults.
    #[derive(Clone, Debug, Default)]
    pub struct LinkFaults {
        links: Arc<Mutex<HashMap<SocketAddr, Link>>>,
    }

    #[derive(Clone, Copy, Debug)]
    struct Link {
        /// Address that is connected to in place of the one that was asked for.
        proxy: SocketAddr,
        fault: Option<LinkFault>,
    }

    impl LinkFaults {
        /// Leads connections to an address through a proxy.
        pub fn redirect(&self, address: SocketAddr, proxy: SocketAddr) {
            let link = Link { proxy, fault: None };
            let mut links = self.links.lock().expect("no panic while locked");
            links.insert(address, link);
        }

        /// Sets or ends the fault of a link that is redirected.
        pub fn set(&self, address: SocketAddr, fault: Option<LinkFault>) {
            let mut links = self.links.lock().expect("no panic while locked");
            if let Some(link) = links.get_mut(&address) {
                link.fault = fault;
            }
        }

        /// Returns the address to connect to and the fault that the connection meets.
        pub fn link(&self, address: SocketAddr) -> (SocketAddr, Option<LinkFault>) {
            let links = self.links.lock().expect("no panic while locked");
            let link = links.get(&address);
            link.map_or((address, None), |link| (link.proxy, link.fault))
        }
    }
}

#[cfg(not(feature = "faults"))]
mod links {
    use std::net::SocketAddr;

    use super::LinkFault;

    /// Stand-in without the feature `faults`: no link has a fault.
    #[derive(Clone, Copy, Debug, Default)]
    pub struct LinkFaults {
        _private: (),
    }

    impl LinkFaults {
        /// Returns the address itself.
        #[inline(always)]
        pub fn link(&self, address: SocketAddr) -> (SocketAddr, Option<LinkFault>) {
            (address, None)
        }
    }
}

pub use links::*;
