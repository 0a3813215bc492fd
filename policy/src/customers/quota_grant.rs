use serde::{Deserialize, Serialize};

/// Share of a customer's quota for one instance, in answer to its report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Name of the customer.
    pub customer: String,
    /// Requests that the instance may admit in any window.
    pub share: u32,
}
