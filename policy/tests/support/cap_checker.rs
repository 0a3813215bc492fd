use std::collections::VecDeque;

use laburnumdeal_policy::WINDOW_MS;

/// Checks that all instances together stay within the cap in every second. Instances may know
/// different caps; the highest one that is in force anywhere in that second applies.
#[derive(Debug, Default)]
pub struct CapChecker {
    spends: VecDeque<(u64, u64)>,
    /// Caps with the time at which each was last in force.
    caps: Vec<(u64, u64)>,
    sum: u64,
    pub total: u64,
    pub excess: u64,
}

impl CapChecker {
    /// Records that a cap is in force at an instance.
    pub fn in_force(&mut self, cap: u64, at_us: u64) {
        self.caps
            .retain(|(other, seen_us)| *other != cap && seen_us + WINDOW_MS * 1_000 >= at_us);
        self.caps.push((cap, at_us));
    }

    /// Records a spent amount and updates the maximum excess over the cap.
    pub fn spent(&mut self, amount: u64, at_us: u64) {
        self.spends.push_back((at_us, amount));
        self.sum += amount;
        self.total += amount;
        while self.spends[0].0 + WINDOW_MS * 1_000 <= at_us {
            self.sum -= self.spends.pop_front().unwrap().1;
        }
        let cap = self.caps.iter().map(|(cap, _)| *cap).max().unwrap_or(0);
        self.excess = self.excess.max(self.sum.saturating_sub(cap));
    }

    /// Refunds an amount that was spent at `spent_us`.
    pub fn refunded(&mut self, amount: u64, spent_us: u64) {
        if let Some(spend) = self
            .spends
            .iter_mut()
            .find(|spend| spend.0 == spent_us && spend.1 >= amount)
        {
            spend.1 -= amount;
            self.sum -= amount;
        }
    }
}
