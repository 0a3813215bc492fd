//! Choice of upstreams while upstreams, services and routes come and go: route table, expected
//! time by load and warmth, cold starts, and the shares of sums over all instances.

mod cached_objects;
mod choosing;
mod cold_start_limiter;
mod decision;
mod load_balancer;
mod load_estimate;
mod retry_budget_share;
mod route_table;
mod route_time;
mod service_times;
mod shared_news;
mod upstream_entry;
mod upstream_record;

pub use cached_objects::CachedObjects;
pub use cold_start_limiter::ColdStartLimiter;
pub use decision::{Decision, RequestContext, Selection};
pub use load_balancer::{AttemptOutcome, LoadBalancer, LoadBalancerSettings, UpstreamKey, hash_of};
pub use load_estimate::{LoadEstimate, UpstreamLoad};
pub use retry_budget_share::RetryBudgetShare;
pub use route_table::{Route, RouteTable};
pub use route_time::RouteTime;
pub use service_times::ServiceTimes;
pub use shared_news::{SharedLoad, SharedNews, SharedObject};
pub use upstream_record::UpstreamRecord;
