use laburnumdeal_model::{ServiceId, UpstreamId};

/// One upstream whose slots this instance hands out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnedUpstream {
    /// Key of the upstream.
    pub id: UpstreamId,
    /// Service that it runs.
    pub service: ServiceId,
    /// Requests that it runs at the same time.
    pub slots: u16,
    /// Connections that it takes at the same time.
    pub connections: u16,
    /// Thousandths of its work that a drain has moved away; 1000 means no new work.
    pub moved_permille: u16,
    /// Whether it takes no new work because it is about to stop.
    pub leaving: bool,
}
