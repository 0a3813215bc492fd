use laburnumdeal_model::UpstreamId;
use tokio::time::Instant;

use crate::standing::SlotUse;

/// A slot that was given out and must be given back by [`PoolCore::release`](crate::PoolCore).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    /// Upstream whose slot it is.
    pub upstream: UpstreamId,
    /// When it was given out.
    pub granted_at: Instant,
    pub(crate) use_of: SlotUse,
}

impl SlotGrant {
    /// Returns whether the request finds out if a doubtful upstream works.
    pub fn is_probe(&self) -> bool {
        self.use_of != SlotUse::Work
    }
}
