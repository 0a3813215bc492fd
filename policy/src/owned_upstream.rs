use laburnumdeal_model::{ServiceId, UpstreamId};

/// An upstream that this instance owns, which means that it alone grants the slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnedUpstream {
    /// Key of the upstream.
    pub id: UpstreamId,
    /// Service that the upstream runs.
    pub service: ServiceId,
    /// Requests that the upstream runs at the same time.
    pub slots: u16,
    /// Connections that the upstream accepts at the same time.
    pub connections: u16,
    /// Thousandths of its requests that a drain has moved away; 1000 means no new requests.
    pub moved_permille: u16,
    /// Whether the upstream accepts no new requests because it is about to stop.
    pub leaving: bool,
}
