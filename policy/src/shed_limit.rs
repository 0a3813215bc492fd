use std::time::Duration;

use tokio::time::Instant;

/// Maximum number of doublings of the backoff, which the maximum backoff limits as well.
const MAX_DOUBLINGS: u32 = 16;

/// Limit on the requests in flight on an upstream that shed requests. It starts at the number of
/// requests that the upstream ran when it shed one. After a backoff, one more request probes
/// whether the upstream accepts it.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct ShedLimit {
    open_slots: Option<u16>,
    consecutive_sheds: u32,
    next_slot_at: Option<Instant>,
    probe_at: Option<Instant>,
}

impl ShedLimit {
    /// Records a shed while `others` other requests of this instance are in flight there. The limit
    /// is halved when the upstream sheds again although no probe is in flight.
    pub fn shed(&mut self, others: u16, backoff: Duration, max_backoff: Duration, now: Instant) {
        let is_repeated = self.open_slots.is_some() && self.probe_at.is_none();
        let open_slots = match is_repeated {
            true => others.min(self.open_slots.unwrap_or(others) / 2),
            false => others,
        };
        let backoff = backoff.saturating_mul(1 << self.consecutive_sheds.min(MAX_DOUBLINGS));
        self.open_slots = Some(open_slots);
        self.consecutive_sheds += 1;
        self.probe_at = None;
        self.next_slot_at = Some(now + backoff.min(max_backoff));
    }

    /// Records that a request was sent, which makes `in_flight` requests there.
    pub fn sent(&mut self, in_flight: u16, now: Instant) {
        let is_probe = self
            .open_slots
            .is_some_and(|open_slots| in_flight > open_slots);
        if is_probe && self.probe_at.is_none() {
            self.probe_at = Some(now);
        }
    }

    /// Records the answer to a request that was sent at `sent_at`. The answer to a probe raises the
    /// limit by one.
    pub fn answered(&mut self, sent_at: Instant, slots: u16, backoff: Duration, now: Instant) {
        let (Some(open_slots), Some(probe_at)) = (self.open_slots, self.probe_at) else {
            return;
        };
        if sent_at < probe_at {
            return;
        }
        self.consecutive_sheds = 0;
        self.probe_at = None;
        self.next_slot_at = Some(now + backoff);
        self.open_slots = (open_slots + 1 < slots).then_some(open_slots + 1);
    }

    /// Returns the number of open slots, or `None` when all are open.
    pub fn limit(&self, now: Instant) -> Option<u16> {
        let open_slots = self.open_slots?;
        let may_grow = self.next_slot_at.is_some_and(|at| now >= at);
        Some(open_slots + u16::from(may_grow))
    }

    /// Returns when the next slot opens.
    pub fn next_slot_at(&self) -> Option<Instant> {
        self.open_slots.and(self.next_slot_at)
    }
}
