use std::time::Duration;

use derive_more::{Display, Error};

use crate::customers::FairStanding;

/// Refusal of a request that may not take the place that there is. It has not run.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq)]
pub enum FairRefusal {
    /// The customer has its fair share of the places.
    #[display(
        "share {:.1}, had {:.1}, wanted {:.1} a second, decided {} ms ago",
        standing.share_per_s,
        standing.admitted_per_s,
        standing.wanted_per_s,
        standing.age.as_millis()
    )]
    OverShare {
        /// Time until one of the next places of its share, different for successive refusals.
        retry_after: Duration,
        /// What it was decided by.
        standing: FairStanding,
    },
    /// More urgent requests were refused beyond their customer's share.
    #[display("one of those was refused {} ms ago", age.as_millis())]
    LessUrgent {
        /// Time until that binds no more, unless another one is refused.
        retry_after: Duration,
        /// Time since the last one was refused.
        age: Duration,
    },
}

impl FairRefusal {
    /// Returns the reason, for the caller and the log.
    pub fn reason(&self) -> &'static str {
        match self {
            Self::OverShare { .. } => {
                "the customer has more than its share while upstreams are busy"
            }
            Self::LessUrgent { .. } => "more urgent requests go first while upstreams are busy",
        }
    }

    /// Returns the name of the outcome, for metrics.
    pub fn outcome(&self) -> &'static str {
        match self {
            Self::OverShare { .. } => "over-share",
            Self::LessUrgent { .. } => "less-urgent",
        }
    }

    /// Returns the time after which the caller should come back.
    pub fn retry_after(&self) -> Duration {
        match self {
            Self::OverShare { retry_after, .. } | Self::LessUrgent { retry_after, .. } => {
                *retry_after
            }
        }
    }
}
