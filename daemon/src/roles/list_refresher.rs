//! Keeps the list of upstreams of a control instance: the leader reads it, the others follow the
//! leader and read it themselves only when the leader's word grows old.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::roles::control_node::ControlState;
use crate::roles::follow_message::{Call, FollowRequest, Reply};
use crate::roles::{ListError, UpstreamList, UpstreamSource};

/// Time between two reads of the list by the leader: a fourth of the time in which no more work may
/// go to an upstream that the list shows as leaving.
const READ_EVERY: Duration = Duration::from_millis(700);

/// Time between two reads by an instance that has no fresh word of the leader.
const READ_ALONE_EVERY: Duration = Duration::from_millis(1_200);

/// Part of the allowed calls that one reader makes.
const CALLS_USED: f64 = 0.5;

/// Age at which the leader's word counts as old.
const OLD_AFTER: Duration = Duration::from_millis(2_000);

/// Time that the leader waits for something new before it answers.
const FOLLOW_WAIT: Duration = Duration::from_millis(800);

/// Time after which the leader counts as silent.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Reads or follows the list for as long as the process runs.
pub async fn run<S: UpstreamSource>(state: Arc<ControlState>, source: S) {
    let mut seen = Seen {
        available: true,
        unreadable: 0,
    };
    loop {
        let me = state.settings.peer_address(state.settings.address);
        let leader = state.replica.leader_name();
        let leader: Option<SocketAddr> = leader.and_then(|name| name.parse().ok());
        let followed = match leader {
            Some(leader) if leader != me => follow(&state, leader).await,
            _ => false,
        };
        let age = state.list.borrow().age(Instant::now());
        let leads = state.replica.has_lease();
        if leads || (!followed && age.is_none_or(|age| age > OLD_AFTER)) {
            let calls = read(&state, &source, &mut seen).await;
            let pause = calls as f64 / (state.settings.list_calls_per_s * CALLS_USED);
            let least = if leads { READ_EVERY } else { READ_ALONE_EVERY };
            sleep(least.max(Duration::from_secs_f64(pause))).await;
        } else if !followed {
            sleep(READ_EVERY).await;
        }
    }
}

/// What the last read showed, so that only changes are logged.
struct Seen {
    available: bool,
    unreadable: usize,
}

/// Reads the list; returns the calls that it took.
async fn read<S: UpstreamSource>(state: &ControlState, source: &S, seen: &mut Seen) -> usize {
    let asked_at = Instant::now();
    state.metrics.list_read();
    match source.read().await {
        Ok(read) => {
            if !seen.available {
                info!(state.log, "list of upstreams is available again");
            }
            seen.available = true;
            if seen.unreadable != read.unreadable {
                warn!(state.log, "entries of the list cannot be read and are left out";
                    "entries" => read.unreadable, "before" => seen.unreadable);
            }
            seen.unreadable = read.unreadable;
            take(state, UpstreamList::new(read.records, asked_at));
            read.calls
        }
        Err(error) => {
            if seen.available || error == ListError::RateLimited {
                warn!(state.log, "list of upstreams is not available"; "error" => %error);
            }
            seen.available = false;
            1
        }
    }
}

/// Waits for the leader's word; returns whether it came.
async fn follow(state: &ControlState, leader: SocketAddr) -> bool {
    let held = state.list.borrow().clone();
    let held_age = held.age(Instant::now());
    let request = FollowRequest {
        version: None,
        list_hash: held.hash,
        list_age_ms: held_age.map(|age| age.as_millis() as u64),
        roster_hash: 0,
        contents: true,
        crashes: state.crashes.lock().expect("no holder panics").list(),
        wait_ms: FOLLOW_WAIT.as_millis() as u64,
    };
    let call = Call::Follow(request);
    let Ok(Reply::Follow(reply)) = state.client.call(leader, &call, FOLLOW_TIMEOUT).await else {
        return false;
    };
    let now = Instant::now();
    let mut crashes = state.crashes.lock().expect("no holder panics");
    crashes.add(&reply.crashes, now);
    drop(crashes);
    if let Some(list) = reply.list(&held, now) {
        take(state, list);
    }
    let read_at = reply.list_read_at(now);
    read_at.is_some_and(|read_at| now - read_at < OLD_AFTER)
}

fn take(state: &ControlState, list: UpstreamList) {
    state.list.send_if_modified(|held| {
        if !list.is_newer_than(held) {
            return false;
        }
        let differs = list.hash != held.hash;
        if differs {
            info!(state.log, "list of upstreams changed"; "upstreams" => list.records.len(),
                "mark" => format!("{:016x}", list.hash));
        }
        *held = Arc::new(list);
        if differs {
            state.lists.push(held.clone());
        }
        differs
    });
}
