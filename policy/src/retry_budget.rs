use std::sync::atomic::{AtomicU64, Ordering};

/// Cost of one retry or hedged request, in thousandths of a retry.
const RETRY_COST_MILLIS: u64 = 1_000;

/// Budget of retries and hedged requests. Every request adds a fraction of a retry to it.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::RetryBudget;
///
/// let budget = RetryBudget::new(100, 2);
/// assert!(budget.withdraw() && budget.withdraw() && !budget.withdraw());
/// (0..10).for_each(|_| budget.deposit());
/// assert!(budget.withdraw());
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    deposit_millis: u64,
    limit_millis: u64,
    balance_millis: AtomicU64,
}

impl RetryBudget {
    /// Creates a full budget that holds at most `limit` retries. Every request adds
    /// `retries_permille` thousandths of a retry.
    pub fn new(retries_permille: u16, limit: u32) -> Self {
        let limit_millis = u64::from(limit) * RETRY_COST_MILLIS;
        Self {
            deposit_millis: u64::from(retries_permille),
            limit_millis,
            balance_millis: AtomicU64::new(limit_millis),
        }
    }

    /// Adds the fraction of a retry that one request is worth.
    pub fn deposit(&self) {
        let raise = |balance: u64| Some((balance + self.deposit_millis).min(self.limit_millis));
        // The closure always returns a value, so the update cannot fail.
        let _ = self
            .balance_millis
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, raise);
    }

    /// Withdraws one retry or hedged request. Returns false if the budget is exhausted.
    pub fn withdraw(&self) -> bool {
        self.balance_millis
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                balance.checked_sub(RETRY_COST_MILLIS)
            })
            .is_ok()
    }

    /// Returns the number of retries that are left.
    pub fn retries(&self) -> u64 {
        self.balance_millis.load(Ordering::Relaxed) / RETRY_COST_MILLIS
    }
}
