use std::time::Duration;

use crate::customers::BootTime;

/// Time in which the weight of a request falls to 1/e. Weights that fall alike for all customers
/// keep their order, and what a customer may have comes back bit by bit.
pub(super) const MEMORY: Duration = Duration::from_secs(4);

/// Requests of one customer lately: those that arrived, and those that got a place, each with a
/// weight that falls with its age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FairCount {
    counted_at: BootTime,
    arrived: f64,
    admitted: f64,
    refusals: u32,
}

impl FairCount {
    pub fn add_arrival(&mut self, now: BootTime) {
        self.advance(now);
        self.arrived += 1.0;
    }

    pub fn add_admission(&mut self, now: BootTime) {
        self.advance(now);
        self.admitted += 1.0;
    }

    /// Takes back an admission at a time.
    pub fn give_back(&mut self, admitted_at: BootTime, now: BootTime) {
        self.advance(now);
        let weight = weight(now.since(admitted_at));
        self.admitted = (self.admitted - weight).max(0.0);
    }

    /// Returns how many requests were refused for the share before this one.
    pub fn add_refusal(&mut self) -> u32 {
        self.refusals = self.refusals.wrapping_add(1);
        self.refusals.wrapping_sub(1)
    }

    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Returns the requests that want a place, whether or not they got one.
    pub fn wanted(&self) -> f64 {
        self.admitted.max(self.arrived)
    }

    /// Lets the weights fall.
    pub fn advance(&mut self, now: BootTime) {
        let weight = weight(now.since(self.counted_at));
        self.arrived *= weight;
        self.admitted *= weight;
        self.counted_at = self.counted_at.max(now);
    }
}

/// Returns the weight of a request of an age.
pub(super) fn weight(age: Duration) -> f64 {
    (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
}
