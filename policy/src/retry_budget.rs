use std::sync::atomic::{AtomicU64, Ordering};

/// Cost of one retry or hedge, in thousandths.
const RETRY_COST_MILLIS: u64 = 1_000;

/// Budget that retries and hedges share; requests pay into it.
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
    /// Returns a full budget that gains `retries_permille` of a retry a request and holds `limit` retries.
    pub fn new(retries_permille: u16, limit: u32) -> Self {
        let limit_millis = u64::from(limit) * RETRY_COST_MILLIS;
        Self {
            deposit_millis: u64::from(retries_permille),
            limit_millis,
            balance_millis: AtomicU64::new(limit_millis),
        }
    }

    /// Pays in for one request.
    pub fn deposit(&self) {
        let raise = |balance: u64| Some((balance + self.deposit_millis).min(self.limit_millis));
        // The closure always returns a value, so the update cannot fail.
        let _ = self
            .balance_millis
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, raise);
    }

    /// Takes one retry or hedge; returns false if the budget does not hold one.
    pub fn withdraw(&self) -> bool {
        self.balance_millis
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |balance| {
                balance.checked_sub(RETRY_COST_MILLIS)
            })
            .is_ok()
    }

    /// Returns how many retries the budget holds.
    pub fn retries(&self) -> u64 {
        self.balance_millis.load(Ordering::Relaxed) / RETRY_COST_MILLIS
    }
}
