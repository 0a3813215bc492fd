//! Follows control instances by long polls, nearest first. Loop 0 receives the updates themselves.
//! The other loop receives only versions and hashes, and requests contents when loop 0 does not
//! deliver an update in time; so an update normally crosses the narrow link of an entry instance
//! once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::Version;
use slog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::roles::crash_exchange::CrashExchange;
use crate::roles::entry_state::EntryState;
use crate::roles::follow_message::{Call, FollowRequest, Reply};
use crate::roles::follow_reply::FollowReply;
use crate::roles::known_controls::KnownControls;
use crate::roles::rpc_client::{RpcClient, RpcError};

/// Longest time that a control instance waits for an update before it replies.
const LONG_POLL_WAIT: Duration = Duration::from_millis(900);

/// Timeout of a long poll; longer than the wait by the time for the exchange.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Delay before the next control instance is tried after one failed.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time for loop 0 to deliver an update that another loop learned of.
const DELIVERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay after which a loop that failed over tries its nearest control instance again.
const FAILBACK_DELAY: Duration = Duration::from_secs(30);

/// Follows control instances until the process stops, as loop number `index` of `loops`.
pub async fn run(
    state: Arc<EntryState>,
    controls: Arc<KnownControls>,
    client: RpcClient,
    index: usize,
    loops: usize,
) {
    let settings = &state.settings;
    let mut position = index;
    let mut failed_over_at = Instant::now();
    let mut followed: Option<SocketAddr> = None;
    let always_contents = index == 0;
    let mut contents = always_contents;
    let mut exchange = CrashExchange::default();
    loop {
        let known = controls.nearest_first(&settings.region, &settings.instance);
        if position != index && failed_over_at.elapsed() >= FAILBACK_DELAY {
            position = index;
        }
        let target = known[position % known.len()];
        match poll(&state, &client, target, contents, &mut exchange).await {
            Ok(reply) if reply.is_led => {
                if followed != Some(target) {
                    info!(state.log.unlimited(), "following a control instance";
                        "control" => target.to_string());
                    followed = Some(target);
                }
                controls.update(&reply.controls);
                apply(&state, &reply, target);
                contents = always_contents || is_overdue(&state, &reply).await;
            }
            reply => {
                if followed.take().is_some() {
                    let reason = match &reply {
                        Ok(_) => "it hears no leader".to_owned(),
                        Err(error) => format!("it does not answer: {error}"),
                    };
                    warn!(state.log.unlimited(), "lost a control instance";
                        "control" => target.to_string(), "reason" => reason);
                }
                if let Ok(reply) = reply {
                    apply(&state, &reply, target);
                }
                position += loops;
                failed_over_at = Instant::now();
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns whether an update that a reply announced is still missing after the time that loop 0 has
/// to deliver it.
async fn is_overdue(state: &EntryState, reply: &FollowReply) -> bool {
    let now = Instant::now();
    let is_missing = || {
        let current = state.active().configuration;
        let list = state.list();
        current.is_none_or(|current| current.version < reply.version)
            || (list.hash != reply.list_hash && list.read_at < reply.list_read_at(now))
    };
    if !is_missing() {
        return false;
    }
    sleep(DELIVERY_TIMEOUT).await;
    is_missing()
}

async fn poll(
    state: &EntryState,
    client: &RpcClient,
    target: SocketAddr,
    contents: bool,
    exchange: &mut CrashExchange,
) -> Result<FollowReply, RpcError> {
    let active = state.active().configuration;
    let version = active.map_or(Version(0), |configuration| configuration.version);
    let list = state.list();
    let now = Instant::now();
    let list_age = list.age(now);
    let (crash_revision, (crash_position, crashes)) = {
        let blocks = state.blocks();
        let reports = &blocks.reports;
        (reports.revision(), exchange.outgoing(target, reports))
    };
    let request = FollowRequest {
        version: Some(version),
        list_hash: list.hash,
        list_age_ms: list_age.map(|age| age.as_millis() as u64),
        roster_hash: state.roster_hash(),
        contents,
        crash_position,
        crashes,
        wait_ms: LONG_POLL_WAIT.as_millis() as u64,
    };
    let call = Call::Follow(request);
    match client.call(target, &call, REPLY_TIMEOUT).await? {
        Reply::Follow(reply) => {
            exchange.record_reply(target, crash_revision, reply.crash_position);
            Ok(*reply)
        }
        _ => Err(RpcError::WrongKind),
    }
}

fn apply(state: &EntryState, reply: &FollowReply, source: SocketAddr) {
    // Before the configuration and the list, which make the instance ready.
    state.add_crashes(&reply.crashes, source);
    let now = Instant::now();
    let current = state.active().configuration;
    let update = reply.configuration.clone();
    if let Some(next) = update.apply_to(current.as_deref()) {
        state.update_configuration(Arc::new(next));
    }
    if let Some(list) = reply.list(&state.list(), now) {
        state.update_list(list);
    }
    if let Some((hash, instances)) = &reply.roster {
        state.update_roster(*hash, instances.clone());
    }
}
