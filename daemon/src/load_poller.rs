//! Polls the upstreams that this instance owns for their load.

use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::LoadReport;
use tokio::time::Instant;

use crate::connection_pool::ConnectionPool;
use crate::get_json::get_json;
use crate::state::State;

/// HTTP path of an upstream's load report.
const LOAD_PATH: &str = "/load";

/// Time between two polls of one upstream.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two checks whether this instance owns the upstream. It is short because a new owner
/// assumes that slots are taken until the first report arrives.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of a poll.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Polls one upstream whenever this instance owns it, for as long as the process runs.
pub async fn run(state: Arc<State>, upstream: UpstreamId) {
    let pool = ConnectionPool::new(state.topology.upstream(upstream).address, 1);
    let mut last_poll_at: Option<Instant> = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !state.pool.owns(upstream) {
            last_poll_at = None;
            continue;
        }
        if last_poll_at.is_some_and(|at| at.elapsed() < POLL_INTERVAL) {
            continue;
        }
        let asked_at = Instant::now();
        last_poll_at = Some(asked_at);
        match get_json::<LoadReport>(&pool, LOAD_PATH, POLL_TIMEOUT).await {
            Ok(report) => {
                state.in_flight_requests.mark_recovered(upstream);
                state.pool.report(upstream, report, asked_at);
            }
            Err(_) => state.pool.report_missing(upstream, asked_at),
        }
    }
}
