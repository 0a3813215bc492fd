use std::time::Duration;

use tokio::time::Instant;

/// Limit on an upstream that shed requests: a pause, then fewer slots, then one more at a time.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct ShedLimit {
    open: Option<u16>,
    paused_until: Option<Instant>,
    sheds: u32,
    answers: u16,
}

impl ShedLimit {
    /// Takes in a shed while `others` requests of this instance run there.
    pub fn shed(&mut self, others: u32, pause: Duration, pause_max: Duration, now: Instant) {
        if self.is_paused(now) {
            return;
        }
        let doublings = self.sheds.min(16);
        let pause = pause.saturating_mul(1 << doublings).min(pause_max);
        self.paused_until = Some(now + pause);
        self.open = Some(u16::try_from(others).unwrap_or(u16::MAX).max(1));
        self.sheds += 1;
        self.answers = 0;
    }

    /// Takes in an answer; a limit's worth of them opens one more slot.
    pub fn answered(&mut self, slots: u16) {
        let Some(open) = self.open else { return };
        self.sheds = 0;
        self.answers += 1;
        if self.answers < open {
            return;
        }
        self.answers = 0;
        self.open = (open + 1 < slots).then_some(open + 1);
    }

    /// Returns whether the upstream gets no work now.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Returns the end of the pause.
    pub fn paused_until(&self) -> Option<Instant> {
        self.paused_until
    }

    /// Returns the slots that are open, or nothing when all are.
    pub fn limit(&self) -> Option<u16> {
        self.open
    }
}
