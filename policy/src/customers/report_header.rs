use laburnumdeal_model::{Term, Version};
use serde::{Deserialize, Serialize};

/// Sender of reports on quotas, and their place among its reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportHeader {
    /// Name of the instance.
    pub instance: String,
    /// Random number of the start of its process.
    pub start: u64,
    /// Time since that start in milliseconds, by the boot clock.
    pub uptime_ms: u64,
    /// Number of the reports since the start.
    pub sequence: u64,
    /// Term of the bank that answered it last; shows that the report is made after the bank began.
    pub bank: Term,
    /// Version of its active configuration, which the limits in the reports are from.
    pub version: Version,
}
