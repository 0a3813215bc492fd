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

/// Time between two looks at whether this instance owns the upstream. A new owner assumes that
/// slots are taken until the first report, so that one is asked for at once.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Time after which a report counts as missing.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Polls one upstream for as long as the process runs, while this instance owns it.
pub async fn run(state: Arc<State>, upstream: UpstreamId) {
    let pool = ConnectionPool::new(state.topology.upstream(upstream).address, 1);
    let mut last: Option<Instant> = None;
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        if !state.pool.owns(upstream) {
            last = None;
            continue;
        }
        if last.is_some_and(|at| at.elapsed() < POLL_EVERY) {
            continue;
        }
        let asked_at = Instant::now();
        last = Some(asked_at);
        match get_json::<LoadReport>(&pool, LOAD_PATH, POLL_TIMEOUT).await {
            Ok(report) => {
                state.flights.recovered(upstream);
                state.pool.report(upstream, report, asked_at);
            }
            Err(_) => state.pool.report_missing(upstream, asked_at),
        }
    }
}
