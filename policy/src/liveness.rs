use tokio::time::Instant;

use crate::MemberState;

/// Times up to which a peer takes work, if nothing is heard of it meanwhile.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Liveness {
    /// End of the time in which it is live; `None` for a peer that takes no work.
    pub live_until: Option<Instant>,
    /// End of the time in which it is at least suspect.
    pub suspect_until: Option<Instant>,
}

impl Liveness {
    /// Returns whether the peer is live or suspect at a time; `None` when it takes no work.
    pub fn state(&self, at: Instant) -> Option<MemberState> {
        if self.live_until.is_some_and(|until| at < until) {
            return Some(MemberState::Live);
        }
        let is_suspect = self.suspect_until.is_some_and(|until| at < until);
        is_suspect.then_some(MemberState::Suspect)
    }
}
