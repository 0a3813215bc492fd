//! Refreshes the list of upstreams on a control instance. The leader reads it from its source; the
//! others follow the leader, and read it themselves only when the leader's list gets too old.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::{Instant, sleep, sleep_until};

use crate::roles::control_node::ControlState;
use crate::roles::crash_exchange::CrashExchange;
use crate::roles::follow_message::{Call, FollowRequest, Reply};
use crate::roles::{ListError, UpstreamList, UpstreamSource};

/// Time from the start of one read of the list by the leader to the next: less than a third of the
/// time within which new requests must stop going to an upstream that the list shows as leaving.
const READ_PERIOD: Duration = Duration::from_millis(900);

/// Time between the starts of reads by an instance that gets no fresh list from a leader.
const FALLBACK_READ_PERIOD: Duration = Duration::from_millis(1_500);

/// Pause of an instance that has neither a leader to follow nor a reason to read.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Fraction of the allowed rate of calls that one reader uses.
const CALL_RATE_FRACTION: f64 = 0.5;

/// Age from which the leader's list counts as too old.
const MAX_LIST_AGE: Duration = Duration::from_millis(2_000);

/// Longest time that the leader waits for an update before it replies.
const LONG_POLL_WAIT: Duration = Duration::from_millis(800);

/// Timeout of a long poll to the leader; longer than the wait by the time for the exchange.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Reads the list or follows the leader until the process stops.
pub async fn run<S: UpstreamSource>(state: Arc<ControlState>, source: S) {
    let mut last_read = LastRead {
        available: true,
        unreadable: 0,
    };
    let mut exchange = CrashExchange::default();
    loop {
        let own_address = state.settings.peer_address(state.settings.address);
        let leader = state.replica.leader_name();
        let leader: Option<SocketAddr> = leader.and_then(|name| name.parse().ok());
        let followed = match leader {
            Some(leader) if leader != own_address => follow(&state, leader, &mut exchange).await,
            _ => false,
        };
        let age = state.list.borrow().age(Instant::now());
        let has_lease = state.replica.has_lease();
        if has_lease || (!followed && age.is_none_or(|age| age > MAX_LIST_AGE)) {
            let started_at = Instant::now();
            let calls = read(&state, &source, &mut last_read).await;
            let period = read_period(has_lease, calls, state.settings.list_calls_per_s);
            sleep_until(started_at + period).await;
        } else if !followed {
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Returns the time from the start of a read that took some calls to the start of the next one. It
/// counts from the start, so that a list of many pages does not make the changes in it older.
fn read_period(has_lease: bool, calls: usize, calls_per_s: f64) -> Duration {
    let period = match has_lease {
        true => READ_PERIOD,
        false => FALLBACK_READ_PERIOD,
    };
    let min_period_s = calls as f64 / (calls_per_s * CALL_RATE_FRACTION);
    period.max(Duration::from_secs_f64(min_period_s))
}

/// Result of the last read, so that only changes are logged.
struct LastRead {
    available: bool,
    unreadable: usize,
}

/// Reads the list from its source; returns the number of calls made.
async fn read<S: UpstreamSource>(
    state: &ControlState,
    source: &S,
    last_read: &mut LastRead,
) -> usize {
    let started_at = Instant::now();
    state.metrics.count_list_read();
    match source.read().await {
        Ok(read) => {
            if !last_read.available {
                info!(state.log, "list of upstreams is available again");
            }
            last_read.available = true;
            if last_read.unreadable != read.unreadable {
                warn!(state.log, "skipping unreadable entries of the list of upstreams";
                    "entries" => read.unreadable, "before" => last_read.unreadable);
            }
            last_read.unreadable = read.unreadable;
            update_list(state, UpstreamList::new(read.records, started_at));
            read.calls
        }
        Err(error) => {
            if last_read.available || error == ListError::RateLimited {
                warn!(state.log, "list of upstreams is not available"; "error" => %error);
            }
            last_read.available = false;
            1
        }
    }
}

/// Polls the leader for updates; returns whether the leader's list is recent enough.
async fn follow(state: &ControlState, leader: SocketAddr, exchange: &mut CrashExchange) -> bool {
    let current = state.list.borrow().clone();
    let current_age = current.age(Instant::now());
    let (crash_revision, (crash_position, crashes)) = {
        let crashes = state.crashes.lock().expect("no holder panics");
        (crashes.revision(), exchange.outgoing(leader, &crashes))
    };
    let request = FollowRequest {
        version: None,
        list_hash: current.hash,
        list_age_ms: current_age.map(|age| age.as_millis() as u64),
        roster_hash: 0,
        contents: true,
        crash_position,
        crashes,
        wait_ms: LONG_POLL_WAIT.as_millis() as u64,
    };
    let call = Call::Follow(request);
    let Ok(Reply::Follow(reply)) = state.client.call(leader, &call, REPLY_TIMEOUT).await else {
        return false;
    };
    exchange.record_reply(leader, crash_revision, reply.crash_position);
    let now = Instant::now();
    state.add_crashes(&reply.crashes, leader.ip());
    if let Some(list) = reply.list(&current, now) {
        update_list(state, list);
    }
    let read_at = reply.list_read_at(now);
    read_at.is_some_and(|read_at| now - read_at < MAX_LIST_AGE)
}

fn update_list(state: &ControlState, list: UpstreamList) {
    state.list.send_if_modified(|current| {
        if !list.is_newer_than(current) {
            return false;
        }
        let differs = list.hash != current.hash;
        if differs {
            info!(state.log, "list of upstreams changed"; "upstreams" => list.records.len(),
                "mark" => format!("{:016x}", list.hash));
        }
        *current = Arc::new(list);
        if differs {
            state.list_history.push(current.clone());
        }
        differs
    });
}
