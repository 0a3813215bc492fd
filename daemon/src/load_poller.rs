//! Asks the upstreams that this instance owns for their load.

use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::LoadReport;
use tokio::time::Instant;

use crate::connection_pool::ConnectionPool;
use crate::get_json::get_json;
use crate::state::State;

/// Path of an upstream's load report.
const LOAD_PATH: &str = "/load";

/// Time between two reports of one upstream.
const POLL_EVERY: Duration = Duration::from_millis(500);

/// Time after which a report counts as missing.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Polls one upstream for as long as the process runs, while this instance owns it.
pub async fn run(state: Arc<State>, upstream: UpstreamId) {
    let pool = ConnectionPool::new(state.topology.upstream(upstream).address, 1);
    let mut ticks = tokio::time::interval(POLL_EVERY);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !state.pool.owns(upstream) {
            continue;
        }
        let asked_at = Instant::now();
        match get_json::<LoadReport>(&pool, LOAD_PATH, POLL_TIMEOUT).await {
            Ok(report) => state.pool.report(upstream, report, asked_at),
            Err(_) => state.pool.report_missing(upstream, asked_at),
        }
    }
}
