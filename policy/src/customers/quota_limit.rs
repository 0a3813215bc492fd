use serde::{Deserialize, Serialize};

/// Limit on the requests of one customer over all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLimit {
    /// Requests per second, in thousandths.
    pub milli_per_s: u64,
    /// Requests beyond the rate in any window.
    pub burst: u64,
}

impl QuotaLimit {
    /// Returns whether the customer has no limit.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(laburnumdeal_policy::customers::QuotaLimit::default().is_unlimited());
    /// ```
    pub fn is_unlimited(self) -> bool {
        self.milli_per_s == 0
    }
}
