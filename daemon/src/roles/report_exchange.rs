//! Exchanges what upstreams tell between the entry instances of a region, through the board of one
//! control instance. With many instances, each by itself hears of an upstream too seldom.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::roles::entry_state::EntryState;
use crate::roles::follow_message::{Call, NewsRequest, Reply};
use crate::roles::known_controls::KnownControls;
use crate::roles::rpc_client::RpcClient;

/// Shortest and longest time between two exchanges.
const PERIOD: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(1_000));

/// Time by which each entry instance lengthens the period, so that boards stay cheap.
const PERIOD_PER_INSTANCE: Duration = Duration::from_millis(5);

/// Time after which a board counts as silent.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which a silent board is passed over.
const PASSED_OVER: Duration = Duration::from_secs(3);

/// Exchanges news for as long as the process runs.
pub async fn run(state: Arc<EntryState>, controls: Arc<KnownControls>, client: RpcClient) {
    let mut silent = HashMap::new();
    let mut board = None;
    let mut asked_at = Instant::now();
    loop {
        let instances = state.book().instance_count() as u32;
        let period = (PERIOD_PER_INSTANCE * instances).clamp(PERIOD.0, PERIOD.1);
        sleep(period).await;
        silent.retain(|_, since: &mut Instant| since.elapsed() < PASSED_OVER);
        // All entry instances of a region choose the same board, one of their region if there is.
        let region = &state.settings.region;
        let known = controls.near_first(region, region);
        let mut usable = known
            .iter()
            .filter(|control| !silent.contains_key(*control));
        let Some(chosen) = usable.next().copied() else {
            continue;
        };
        if board.replace(chosen) != Some(chosen) {
            info!(state.events.rare(), "shares news of upstreams"; "control" => chosen.to_string());
        }
        let now = Instant::now();
        let news = state.book().take_report(asked_at, now);
        // Twice the time since the last exchange, so that a lost one leaves no gap.
        let window = (now - asked_at) * 2;
        asked_at = now;
        let request = NewsRequest {
            news,
            window_ms: window.as_millis() as u64,
        };
        match client.call(chosen, &Call::News(request), TIMEOUT).await {
            Ok(Reply::News(news)) => state.book().merge_report(&news, Instant::now()),
            Ok(Reply::Control(_) | Reply::Follow(_)) => {
                warn!(state.events.rare(), "news of upstreams not shared";
                    "control" => chosen.to_string(), "error" => "reply of another kind");
            }
            Err(error) => {
                warn!(state.events.rare(), "news of upstreams not shared";
                    "control" => chosen.to_string(), "error" => error.to_string());
                silent.insert(chosen, Instant::now());
            }
        }
    }
}
