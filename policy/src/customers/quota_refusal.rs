use std::time::Duration;

use derive_more::{Display, Error};

/// Reason why a request was not admitted by its customer's quota. It has not run.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum QuotaRefusal {
    /// The customer is over its limit.
    #[display("the customer is over its quota; come back in {} ms", retry_after.as_millis())]
    OverLimit {
        /// Time until there is room, different for each request that is refused.
        retry_after: Duration,
        /// Time since the share was asked for; `None` if there never was one.
        share_age: Option<Duration>,
    },
    /// No share of the customer's quota is known.
    #[display("no share of the customer's quota is known; come back in {} ms",
        retry_after.as_millis())]
    Unknown {
        /// Time to come back, spread.
        retry_after: Duration,
        /// Time since the last share was asked for; `None` if there never was one.
        share_age: Option<Duration>,
    },
}
