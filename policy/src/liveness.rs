use tokio::time::Instant;

use crate::MemberState;

/// Times until which a peer counts as accepting requests if it sends no further heartbeat.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Liveness {
    /// End of the time in which it is live, or `None` for a peer that accepts no requests.
    pub live_until: Option<Instant>,
    /// End of the time in which it is live or suspect.
    pub suspect_until: Option<Instant>,
}

impl Liveness {
    /// Returns whether the peer is live or suspect at a time, or `None` when it accepts no
    /// requests.
    pub fn state(&self, at: Instant) -> Option<MemberState> {
        if self.live_until.is_some_and(|until| at < until) {
            return Some(MemberState::Live);
        }
        let is_suspect = self.suspect_until.is_some_and(|until| at < until);
        is_suspect.then_some(MemberState::Suspect)
    }
}
