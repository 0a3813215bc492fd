use laburnumdeal_model::UpstreamId;
use tokio::time::Instant;

use crate::availability::SlotPurpose;

/// A granted slot, which must be freed with [`PoolCore::release`](crate::PoolCore::release).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotGrant {
    /// Upstream that the slot belongs to.
    pub upstream: UpstreamId,
    /// When the slot was granted.
    pub granted_at: Instant,
    pub(crate) purpose: SlotPurpose,
}

impl SlotGrant {
    /// Returns whether the request probes an upstream whose last requests failed, or that is full
    /// or failing by its own reports.
    pub fn is_probe(&self) -> bool {
        self.purpose != SlotPurpose::Work
    }
}
