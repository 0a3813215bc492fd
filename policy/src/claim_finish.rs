use std::sync::Arc;

use tokio::sync::watch;

use crate::{Outcome, StoredAnswer};

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimFinish {
    /// It ran; this is its answer.
    Answer(Arc<StoredAnswer>),
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl ClaimFinish {
    /// Returns what the caller may be told.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::Answer(_) => Outcome::Answer,
            Self::NotRun => Outcome::NotRun,
            Self::Unknown => Outcome::Unknown,
        }
    }
}

/// Handle of a request in flight, for resends of its key.
#[derive(Clone, Debug)]
pub struct RunningClaim {
    pub(crate) finish: watch::Receiver<Option<ClaimFinish>>,
}

impl RunningClaim {
    /// Waits until the request has ended and returns how.
    pub async fn wait(mut self) -> ClaimFinish {
        match self.finish.wait_for(Option::is_some).await {
            Ok(finish) => finish.clone().unwrap_or(ClaimFinish::Unknown),
            Err(_) => ClaimFinish::Unknown,
        }
    }

    /// Returns how the request ended, or `None` while it is in flight.
    pub fn finish(&self) -> Option<ClaimFinish> {
        self.finish.borrow().clone()
    }
}
