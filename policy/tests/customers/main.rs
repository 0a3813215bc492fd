//! Tests of customers: what holds for their requests, and what binds them over all instances, while links
//! are cut, messages are lost and the bank of the quotas changes its place.

mod checker;
mod fair_run;
mod fair_shares;
mod key_lease;
mod quota_bank;
mod quota_cuts;
mod quota_load;
mod quota_random;
mod quota_run;
mod quota_share;
mod table;
mod terms;
