use laburnumdeal_model::{InstanceId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::Departure;

/// An upstream whose former owner did not hand it over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeOver {
    /// Upstream that is taken over. All its slots count as taken at first.
    pub upstream: UpstreamId,
    /// Former owner.
    pub from: InstanceId,
    /// Reason why the former owner lost it.
    pub departure: Departure,
}
