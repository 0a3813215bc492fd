use std::collections::VecDeque;

use laburnumdeal_policy::WINDOW_MS;

/// Checks that the use of all instances together stays within the cap in every second, whatever
/// instances know of the cap: the highest cap in force anywhere in that second counts.
#[derive(Debug, Default)]
pub struct CapChecker {
    spends: VecDeque<(u64, u64)>,
    /// Caps with the time at which the last instance gave each up.
    caps: Vec<(u64, u64)>,
    sum: u64,
    pub total: u64,
    pub excess: u64,
}

impl CapChecker {
    /// Notes that a cap is in force at an instance.
    pub fn in_force(&mut self, cap: u64, at_us: u64) {
        self.caps
            .retain(|(other, seen_us)| *other != cap && seen_us + WINDOW_MS * 1_000 >= at_us);
        self.caps.push((cap, at_us));
    }

    /// Notes a spend and keeps the largest excess over the cap.
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

    /// Takes back an amount that was spent at a time.
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
