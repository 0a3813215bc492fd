use laburnumdeal_model::{Term, Version};
use laburnumdeal_policy::customers::{QuotaGrant, QuotaReport, ReportHeader};
use serde::{Deserialize, Serialize};

/// Question of an entry instance to the leader of the change log: what is committed, and which
/// shares of customers' quotas it gets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerRequest {
    /// Sender and order of the question.
    pub header: ReportHeader,
    /// Quotas of the customers that the sender needs.
    pub reports: Vec<QuotaReport>,
    /// Whether a control instance passed it on; it is not passed on again.
    pub is_relayed: bool,
}

/// Answer of the leader, which held a valid lease when it got the question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerReply {
    /// Term of the leader.
    pub term: Term,
    /// Committed version.
    pub version: Version,
    /// Whether the leader knows all shares that may be held.
    pub is_settled: bool,
    /// Shares, one for each report.
    pub grants: Vec<QuotaGrant>,
}
