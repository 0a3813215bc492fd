use derive_more::{Display, Error, From};

use crate::{CapExceeded, RampExceeded};

/// Reason why a request is refused before it is queued or sent.
#[derive(Clone, Copy, Debug, Display, Error, From, PartialEq, Eq)]
pub enum RouteRefusal {
    /// The request does not fit into this instance's share of a cap.
    #[display("{_0}")]
    CapExceeded(CapExceeded),
    /// Traffic from another zone would grow faster than the caches of this zone warm up.
    #[display("{_0}")]
    RampExceeded(RampExceeded),
}

impl RouteRefusal {
    /// Returns the time after which the caller may retry.
    pub fn retry_after_ms(&self) -> u64 {
        match self {
            Self::CapExceeded(error) => error.retry_after_ms,
            Self::RampExceeded(error) => error.retry_after_ms,
        }
    }
}
