use crate::customers::QuotaRefusal;

/// Decision on a request by the instance's share of its customer's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request is admitted and counted.
    Admitted,
    /// A larger share may be had: ask for it, and decide again after the answer.
    Ask,
    /// The request is refused.
    Refused(QuotaRefusal),
}
