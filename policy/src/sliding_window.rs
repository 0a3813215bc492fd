/// Length of the window that a cap holds in.
pub const WINDOW_MS: u64 = 1_000;

/// Length of one slot of the window.
pub const WINDOW_STEP_MS: u64 = 10;

/// Slots that cover the window wherever in a slot it starts, and one more for a fast clock.
const STEPS: usize = (WINDOW_MS / WINDOW_STEP_MS) as usize + 2;

/// Sum of amounts over the last second, rounded up to whole slots.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::SlidingWindow;
///
/// let mut window = SlidingWindow::default();
/// window.add(5, 100);
/// assert_eq!(window.sum(1_100), 5);
/// assert_eq!(window.sum(1_130), 0);
/// ```
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    amounts: [u64; STEPS],
    sum: u64,
    /// Slot that was written last, counted from the start of time.
    slot: u64,
}

impl Default for SlidingWindow {
    fn default() -> Self {
        Self {
            amounts: [0; STEPS],
            sum: 0,
            slot: 0,
        }
    }
}

impl SlidingWindow {
    /// Adds an amount at a time.
    pub fn add(&mut self, amount: u64, now_ms: u64) {
        self.advance(now_ms);
        let position = self.slot as usize % STEPS;
        self.amounts[position] += amount;
        self.sum += amount;
    }

    /// Takes back an amount that was added at a time, if that lies in the window.
    pub fn take_back(&mut self, amount: u64, at_ms: u64) {
        let slot = at_ms / WINDOW_STEP_MS;
        if slot > self.slot || self.slot - slot >= STEPS as u64 {
            return;
        }
        let position = slot as usize % STEPS;
        let taken = amount.min(self.amounts[position]);
        self.amounts[position] -= taken;
        self.sum -= taken;
    }

    /// Returns the sum over the second that ends at a time.
    pub fn sum(&mut self, now_ms: u64) -> u64 {
        self.advance(now_ms);
        self.sum
    }

    /// Returns the time until the sum is at most `most`, if nothing is added.
    pub fn wait_ms(&mut self, most: u64, now_ms: u64) -> u64 {
        self.advance(now_ms);
        let mut left = self.sum;
        let mut steps = 0;
        while left > most && steps < STEPS as u64 {
            steps += 1;
            left -= self.amounts[(self.slot + steps) as usize % STEPS];
        }
        ((self.slot + steps) * WINDOW_STEP_MS).saturating_sub(now_ms)
    }

    /// Empties the slots that have passed. A time before the last one counts as the last one.
    fn advance(&mut self, now_ms: u64) {
        let slot = now_ms / WINDOW_STEP_MS;
        let passed = slot.saturating_sub(self.slot).min(STEPS as u64);
        for step in 1..=passed {
            let position = (slot - passed + step) as usize % STEPS;
            self.sum -= self.amounts[position];
            self.amounts[position] = 0;
        }
        self.slot = self.slot.max(slot);
    }
}
