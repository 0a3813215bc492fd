use laburnumdeal_model::{InstanceId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::Departure;

/// One upstream whose last owner handed nothing over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeOver {
    /// Upstream whose slots count as taken.
    pub upstream: UpstreamId,
    /// Owner before.
    pub from: InstanceId,
    /// How the owner before came to lose it.
    pub departure: Departure,
}
