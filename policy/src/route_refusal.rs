use derive_more::{Display, Error, From};

use crate::{CapExceeded, RampExceeded};

/// Reports why a request is refused at once.
#[derive(Clone, Copy, Debug, Display, Error, From, PartialEq, Eq)]
pub enum RouteRefusal {
    /// A cap would be exceeded.
    #[display("{_0}")]
    CapExceeded(CapExceeded),
    /// The zone's caches are cold for this traffic.
    #[display("{_0}")]
    RampExceeded(RampExceeded),
}

impl RouteRefusal {
    /// Returns the time after which the request may fit.
    pub fn retry_after_ms(&self) -> u64 {
        match self {
            Self::CapExceeded(over) => over.retry_after_ms,
            Self::RampExceeded(cold) => cold.retry_after_ms,
        }
    }
}
