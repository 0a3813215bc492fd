//! Choice of the upstream for each request, while upstreams, services and routes change: the route
//! table, latency estimates by load and cached objects, limits on cold upstreams, the
//! shares of regions, and this instance's share of limits that span all instances.

mod cached_objects;
mod capacity;
mod choosing;
mod completed_requests;
mod connection_checks;
mod crash_evidence;
mod crash_outbox;
mod crash_report;
mod crash_reports;
mod crash_verdict;
mod decision;
mod helper_instances;
mod idle_reuse;
mod instance_record;
mod instance_share;
mod leaving_notice;
mod limit_notice;
mod link_capacity;
mod load_balancer;
mod load_estimate;
mod placement;
mod places;
mod planned_stop;
mod region_shares;
mod region_weights;
mod request_blocks;
mod request_fingerprints;
mod request_window;
mod retry_budget_share;
mod retry_delay;
mod route_latency;
mod route_table;
mod service_latency;
mod service_reach;
mod shared_report;
mod spread;
mod suspect_request;
mod unanswered_attempts;
mod upstream_entry;
mod upstream_limit;
mod upstream_reach;
mod upstream_record;
mod upstream_wait;
mod wait_notice;

pub use cached_objects::CachedObjects;
pub use capacity::{
    LoadCurve, Quartile, SharedSpeed, SlowUpstream, SpeedSample, SpeedStore, UsualTime,
};
pub(crate) use choosing::PRIORITIES;
pub use completed_requests::CompletedRequests;
pub use connection_checks::ConnectionChecks;
pub use crash_evidence::{CrashEvidence, ProbeConnection};
pub use crash_outbox::CrashOutbox;
pub use crash_report::CrashReport;
pub use crash_reports::CrashReports;
pub use crash_verdict::CrashVerdict;
pub use decision::{Decision, RequestContext, Selection};
pub use helper_instances::{HelperInstances, HelperKey, HelperOutcome};
pub use idle_reuse::{IdleReuse, safe_idle, stated_idle};
pub use instance_record::InstanceRecord;
pub use instance_share::InstanceShare;
pub use leaving_notice::LeavingNotice;
pub use limit_notice::LimitNotice;
pub use link_capacity::LinkCapacity;
pub use load_balancer::{
    AttemptOutcome, LoadBalancer, LoadBalancerSettings, RegionKey, UpstreamKey, hash_of,
};
pub use load_estimate::{LoadEstimate, UpstreamLoad};
pub use placement::RegionRoom;
pub use places::Places;
pub use planned_stop::PlannedStop;
pub use region_shares::{EligibleWeight, RegionShares, RegionWeight};
pub use region_weights::RegionShare;
pub use request_blocks::RequestBlocks;
pub use request_fingerprints::RequestFingerprints;
pub use request_window::RequestWindow;
pub use retry_budget_share::RetryBudgetShare;
pub use retry_delay::spread_delay;
pub use route_latency::RouteLatency;
pub use route_table::{Route, RouteTable};
pub use service_latency::ServiceLatency;
pub use service_reach::ServiceReach;
pub use shared_report::{SharedLimit, SharedLoad, SharedObject, SharedReport};
pub use spread::{CallerSpread, LinkUse};
pub use unanswered_attempts::UnansweredAttempts;
pub use upstream_limit::UpstreamLimit;
pub use upstream_reach::{ReachChange, UpstreamReach};
pub use upstream_record::UpstreamRecord;
pub use upstream_wait::UpstreamWait;
pub use wait_notice::WaitNotice;
