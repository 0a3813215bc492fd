use std::time::Duration;

use tokio::time::Instant;

/// Doublings of the pause after which it grows no further by themselves.
const DOUBLINGS_MAX: u32 = 16;

/// Limit on an upstream that shed requests. It holds what the upstream ran beside the request
/// that it shed; after a pause one request more finds out whether there is room again.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct ShedLimit {
    open: Option<u16>,
    sheds: u32,
    grows_at: Option<Instant>,
    probe_at: Option<Instant>,
}

impl ShedLimit {
    /// Takes in a shed while `others` requests of this instance run there.
    pub fn shed(&mut self, others: u16, pause: Duration, pause_max: Duration, now: Instant) {
        let is_again = self.open.is_some() && self.probe_at.is_none();
        let open = match is_again {
            true => others.min(self.open.unwrap_or(others) / 2),
            false => others,
        };
        let pause = pause.saturating_mul(1 << self.sheds.min(DOUBLINGS_MAX));
        self.open = Some(open);
        self.sheds += 1;
        self.probe_at = None;
        self.grows_at = Some(now + pause.min(pause_max));
    }

    /// Notes that a request was sent, which makes `in_flight` there.
    pub fn sent(&mut self, in_flight: u16, now: Instant) {
        let is_probe = self.open.is_some_and(|open| in_flight > open);
        if is_probe && self.probe_at.is_none() {
            self.probe_at = Some(now);
        }
    }

    /// Takes in the answer to a request that was sent at `sent_at`.
    pub fn answered(&mut self, sent_at: Instant, slots: u16, pause: Duration, now: Instant) {
        let (Some(open), Some(probe_at)) = (self.open, self.probe_at) else {
            return;
        };
        if sent_at < probe_at {
            return;
        }
        self.sheds = 0;
        self.probe_at = None;
        self.grows_at = Some(now + pause);
        self.open = (open + 1 < slots).then_some(open + 1);
    }

    /// Returns the slots that are open, or nothing when all are.
    pub fn limit(&self, now: Instant) -> Option<u16> {
        let open = self.open?;
        let may_grow = self.grows_at.is_some_and(|at| now >= at);
        Some(open + u16::from(may_grow))
    }

    /// Returns when one more slot opens.
    pub fn grows_at(&self) -> Option<Instant> {
        self.open.and(self.grows_at)
    }
}
