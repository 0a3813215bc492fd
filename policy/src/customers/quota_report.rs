use serde::{Deserialize, Serialize};

use crate::customers::QuotaLimit;

/// What an instance holds of a customer's quota, and what it needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Name of the customer.
    pub customer: String,
    /// Limit in the instance's active configuration.
    pub limit: QuotaLimit,
    /// Share that the instance has now.
    pub share: u32,
    /// The share, or what was admitted in the window if that is more: upper bound on the requests that the instance admits in any window from now on without a
    /// further grant.
    pub held: u32,
    /// Requests in a window that it would admit if it could.
    pub wanted: u32,
}
