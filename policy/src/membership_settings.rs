/// Settings of [`Membership`](crate::Membership).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Time after which a silent peer counts as out of reach.
    pub peer_timeout_ms: u64,
    /// Time after which a silent peer counts as suspect.
    pub suspect_after_ms: u64,
    /// Gap between two ticks that shows that this process was frozen.
    pub freeze_threshold_ms: u64,
}

impl MembershipSettings {
    /// Returns settings whose other times follow from the peer timeout.
    pub fn new(peer_timeout_ms: u64) -> Self {
        Self {
            peer_timeout_ms,
            suspect_after_ms: peer_timeout_ms / 2,
            freeze_threshold_ms: peer_timeout_ms / 2,
        }
    }
}
