//! Customers: who is calling, what holds for their requests, and what binds them over all instances: the
//! proof that the known keys are fresh, and quotas.

mod admission_window;
mod boot_time;
mod caller_terms;
mod customer;
mod customer_table;
mod key_lease;
mod lease_lost;
mod quota_account;
mod quota_bank;
mod quota_decision;
mod quota_grant;
mod quota_limit;
mod quota_refusal;
mod quota_report;
mod quota_settings;
mod quota_share;
mod quota_shares;
mod report_header;

pub use admission_window::AdmissionWindow;
pub use boot_time::BootTime;
pub use caller_terms::CallerTerms;
pub use customer::Customer;
pub use customer_table::{CustomerKey, CustomerTable};
pub use key_lease::KeyLease;
pub use lease_lost::LeaseLost;
pub use quota_bank::QuotaBank;
pub use quota_decision::QuotaDecision;
pub use quota_grant::QuotaGrant;
pub use quota_limit::QuotaLimit;
pub use quota_refusal::QuotaRefusal;
pub use quota_report::QuotaReport;
pub use quota_settings::QuotaSettings;
pub use quota_share::QuotaShare;
pub use quota_shares::QuotaShares;
pub use report_header::ReportHeader;
