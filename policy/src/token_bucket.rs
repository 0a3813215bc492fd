/// Parts of one unit that a token stands for, so that a rate per second refills by the microsecond.
const PARTS: u64 = 1_000_000;

/// Token bucket that bounds how much of a share is spent at once.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::TokenBucket;
///
/// let mut bucket = TokenBucket::default();
/// bucket.refill(100, 10, 1_000_000);
/// assert_eq!(bucket.wait_us(10, 100), 0);
/// bucket.take(10);
/// assert_eq!(bucket.wait_us(1, 100), 10_000);
/// ```
#[derive(Clone, Debug, Default)]
pub struct TokenBucket {
    parts: u64,
    refilled_us: u64,
}

impl TokenBucket {
    /// Returns a bucket that the next refill cuts down to the largest burst.
    pub fn full() -> Self {
        Self {
            parts: u64::MAX,
            refilled_us: 0,
        }
    }

    /// Adds what a rate brought since the last refill, up to the largest burst.
    pub fn refill(&mut self, rate_per_s: u64, most: u64, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_us);
        let brought = rate_per_s.saturating_mul(elapsed_us);
        self.parts = self
            .parts
            .saturating_add(brought)
            .min(most.saturating_mul(PARTS));
        self.refilled_us = self.refilled_us.max(now_us);
    }

    /// Returns the time until an amount is there.
    pub fn wait_us(&self, amount: u64, rate_per_s: u64) -> u64 {
        let missing = amount.saturating_mul(PARTS).saturating_sub(self.parts);
        match missing {
            0 => 0,
            _ => missing.div_ceil(rate_per_s.max(1)),
        }
    }

    /// Puts an amount back; the next refill cuts the sum down to the largest burst.
    pub fn put_back(&mut self, amount: u64) {
        self.parts = self.parts.saturating_add(amount.saturating_mul(PARTS));
    }

    /// Returns the amount that is there.
    pub fn amount(&self) -> u64 {
        self.parts / PARTS
    }

    /// Takes an amount out.
    pub fn take(&mut self, amount: u64) {
        self.parts = self.parts.saturating_sub(amount.saturating_mul(PARTS));
    }
}
