/// Length of the window in which a cap holds.
pub const WINDOW_MS: u64 = 1_000;

/// Length of one step of the window.
pub const WINDOW_STEP_MS: u64 = 10;

/// Number of steps that cover the window wherever in a step it starts, plus one for a fast clock.
const STEPS: usize = (WINDOW_MS / WINDOW_STEP_MS) as usize + 2;

/// Sum of amounts over the last second, rounded up to whole steps.
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
    /// Step that was written last, counted from time zero.
    step: u64,
}

impl Default for SlidingWindow {
    fn default() -> Self {
        Self {
            amounts: [0; STEPS],
            sum: 0,
            step: 0,
        }
    }
}

impl SlidingWindow {
    /// Adds an amount that is spent at `now_ms`.
    pub fn add(&mut self, amount: u64, now_ms: u64) {
        self.advance(now_ms);
        let position = self.step as usize % STEPS;
        self.amounts[position] += amount;
        self.sum += amount;
    }

    /// Refunds an amount that was added at `at_ms`, if that time is still in the window.
    pub fn refund(&mut self, amount: u64, at_ms: u64) {
        let step = at_ms / WINDOW_STEP_MS;
        if step > self.step || self.step - step >= STEPS as u64 {
            return;
        }
        let position = step as usize % STEPS;
        let taken = amount.min(self.amounts[position]);
        self.amounts[position] -= taken;
        self.sum -= taken;
    }

    /// Returns the sum over the second that ends at `now_ms`.
    pub fn sum(&mut self, now_ms: u64) -> u64 {
        self.advance(now_ms);
        self.sum
    }

    /// Returns the time until the sum is at most `limit`, if nothing is added.
    pub fn wait_ms(&mut self, limit: u64, now_ms: u64) -> u64 {
        self.advance(now_ms);
        let mut remaining = self.sum;
        let mut ahead = 0;
        while remaining > limit && ahead < STEPS as u64 {
            ahead += 1;
            remaining -= self.amounts[(self.step + ahead) as usize % STEPS];
        }
        ((self.step + ahead) * WINDOW_STEP_MS).saturating_sub(now_ms)
    }

    /// Clears the steps that have passed since the last call. A time before that of the last call
    /// counts as the same time.
    fn advance(&mut self, now_ms: u64) {
        let step = now_ms / WINDOW_STEP_MS;
        let passed = step.saturating_sub(self.step).min(STEPS as u64);
        for offset in 1..=passed {
            let position = (step - passed + offset) as usize % STEPS;
            self.sum -= self.amounts[position];
            self.amounts[position] = 0;
        }
        self.step = self.step.max(step);
    }
}
