/// One instance's share of a retry budget that all instances spend from: a fraction of its own
/// requests plus its part of the fixed slack. The shares add up to at most the whole budget, so the
/// instances stay within it without coordination.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::RetryBudgetShare;
///
/// let mut share = RetryBudgetShare::new(0.5, 1.0);
/// assert!(share.withdraw());
/// assert!(!share.withdraw());
/// share.deposit();
/// share.deposit();
/// assert!(share.withdraw());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetShare {
    retries_per_request: f64,
    limit: f64,
    balance: f64,
}

impl RetryBudgetShare {
    /// Returns a full share that gains `retries_per_request` of a retry per request and holds at
    /// most `limit` retries.
    pub fn new(retries_per_request: f64, limit: f64) -> Self {
        Self {
            retries_per_request,
            limit,
            balance: limit,
        }
    }

    /// Changes the limit, which depends on the number of instances, and drops retries above it.
    pub fn set_limit(&mut self, limit: f64) {
        self.limit = limit;
        self.balance = self.balance.min(limit);
    }

    /// Adds the fraction of a retry that one request earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.retries_per_request).min(self.limit);
    }

    /// Takes one retry; returns false if the share does not hold one.
    pub fn withdraw(&mut self) -> bool {
        let is_allowed = self.balance >= 1.0;
        if is_allowed {
            self.balance -= 1.0;
        }
        is_allowed
    }
}
