//! Follows control instances, near ones first. The first loop is told all that is newer. The other
//! one is only told that there is something newer, and asks for it when the first does not bring it;
//! so a change crosses the narrow link of an entry instance once.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::Version;
use slog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::roles::entry_state::EntryState;
use crate::roles::follow_message::{Call, FollowRequest, Reply};
use crate::roles::follow_reply::FollowReply;
use crate::roles::known_controls::KnownControls;
use crate::roles::rpc_client::RpcClient;

/// Time that a control instance waits for something new before it answers.
const WAIT: Duration = Duration::from_millis(900);

/// Time after which a control instance counts as silent.
const TIMEOUT: Duration = Duration::from_millis(1_700);

/// Pause after a control instance failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Time in which the first loop should bring what another loop heard of.
const BROUGHT_WITHIN: Duration = Duration::from_millis(300);

/// Time after which a loop that had to leave its near control instance tries it again.
const RETURN_AFTER: Duration = Duration::from_secs(30);

/// Follows control instances for as long as the process runs, as number `place` of `loops`.
pub async fn run(
    state: Arc<EntryState>,
    controls: Arc<KnownControls>,
    client: RpcClient,
    place: usize,
    loops: usize,
) {
    let settings = &state.settings;
    let mut position = place;
    let mut left_at = Instant::now();
    let mut followed: Option<SocketAddr> = None;
    let brings_contents = place == 0;
    let mut contents = brings_contents;
    loop {
        let known = controls.near_first(&settings.region, &settings.instance);
        if position != place && left_at.elapsed() >= RETURN_AFTER {
            position = place;
        }
        let target = known[position % known.len()];
        match ask(&state, &client, target, contents).await {
            Some(reply) if reply.is_led => {
                if followed != Some(target) {
                    info!(state.events.rare(), "follows a control instance";
                        "control" => target.to_string());
                    followed = Some(target);
                }
                controls.take(&reply.controls);
                take(&state, &reply);
                contents = brings_contents || is_missed(&state, &reply).await;
            }
            reply => {
                if followed.take().is_some() {
                    let reason = match reply {
                        Some(_) => "it hears no leader",
                        None => "it does not answer",
                    };
                    warn!(state.events.rare(), "lost a control instance";
                        "control" => target.to_string(), "reason" => reason);
                }
                if let Some(reply) = reply {
                    take(&state, &reply);
                }
                position += loops;
                left_at = Instant::now();
                sleep(PAUSE).await;
            }
        }
    }
}

/// Returns whether something newer that a reply only names is still not here after the time that
/// the first loop has to bring it.
async fn is_missed(state: &EntryState, reply: &FollowReply) -> bool {
    let now = Instant::now();
    let misses = || {
        let held = state.in_force().configuration;
        let list = state.list();
        held.is_none_or(|held| held.version < reply.version)
            || (list.hash != reply.list_hash && list.read_at < reply.list_read_at(now))
    };
    if !misses() {
        return false;
    }
    sleep(BROUGHT_WITHIN).await;
    misses()
}

async fn ask(
    state: &EntryState,
    client: &RpcClient,
    target: SocketAddr,
    contents: bool,
) -> Option<FollowReply> {
    let in_force = state.in_force().configuration;
    let version = in_force.map_or(Version(0), |configuration| configuration.version);
    let list = state.list();
    let list_age = list.age(Instant::now());
    let crashes = state.crashes.lock().expect("no holder panics").list();
    let request = FollowRequest {
        version: Some(version),
        list_hash: list.hash,
        list_age_ms: list_age.map(|age| age.as_millis() as u64),
        roster_hash: state.roster_hash(),
        contents,
        crashes,
        wait_ms: WAIT.as_millis() as u64,
    };
    match client.call(target, &Call::Follow(request), TIMEOUT).await {
        Ok(Reply::Follow(reply)) => Some(*reply),
        Ok(Reply::Control(_) | Reply::News(_)) | Err(_) => None,
    }
}

fn take(state: &EntryState, reply: &FollowReply) {
    let now = Instant::now();
    let held = state.in_force().configuration;
    let update = reply.configuration.clone();
    if let Some(next) = update.apply_to(held.as_deref()) {
        state.take_configuration(Arc::new(next));
    }
    if let Some(list) = reply.list(&state.list(), now) {
        state.take_list(list);
    }
    if let Some((hash, names)) = &reply.roster {
        state.take_roster(*hash, names.clone());
    }
    let mut crashes = state.crashes.lock().expect("no holder panics");
    crashes.add(&reply.crashes, now);
}
