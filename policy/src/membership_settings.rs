/// Settings of [`Membership`](crate::Membership).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time without heartbeats after which a peer is out of reach.
    pub peer_timeout_ms: u64,
    /// Time without heartbeats after which a peer is suspect.
    pub suspect_after_ms: u64,
    /// Gap between two ticks above which this process counts as frozen meanwhile.
    pub freeze_threshold_ms: u64,
}

impl MembershipSettings {
    /// Derives all settings from the peer timeout.
    pub fn new(peer_timeout_ms: u64) -> Self {
        Self {
            peer_timeout_ms,
            suspect_after_ms: peer_timeout_ms / 2,
            freeze_threshold_ms: peer_timeout_ms / 2,
        }
    }
}
