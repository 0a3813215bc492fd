//! Follows control instances: each loop asks one of them for what is newer, and goes on to the
//! next when that one is silent or hears no leader.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use laburnumdeal_control::replay;
use laburnumdeal_model::{Applied, Configuration, Verdict, Version};
use slog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::roles::ListedUpstreams;
use crate::roles::entry_state::EntryState;
use crate::roles::follow_message::{Call, ConfigurationUpdate, FollowReply, FollowRequest, Reply};
use crate::roles::rpc_client::RpcClient;

/// Time that a control instance waits for something new before it answers.
const WAIT: Duration = Duration::from_millis(900);

/// Time after which a control instance counts as silent.
const TIMEOUT: Duration = Duration::from_millis(1_700);

/// Pause after a control instance failed.
const PAUSE: Duration = Duration::from_millis(100);

/// Control instances that an entry instance knows.
#[derive(Debug)]
pub(super) struct Controls {
    seeds: Mutex<Vec<SocketAddr>>,
    known: Mutex<Vec<SocketAddr>>,
}

impl Controls {
    /// Starts with the seeds of the settings.
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        let known = Mutex::new(seeds.clone());
        let seeds = Mutex::new(seeds);
        Self { seeds, known }
    }

    /// Takes over the seeds of new settings.
    pub fn reseed(&self, seeds: Vec<SocketAddr>) {
        let mut known = self.known.lock().expect("no holder panics");
        known.extend(seeds.iter().copied());
        known.sort();
        known.dedup();
        drop(known);
        *self.seeds.lock().expect("no holder panics") = seeds;
    }

    /// Returns every control instance that is known.
    pub fn list(&self) -> Vec<SocketAddr> {
        self.known.lock().expect("no holder panics").clone()
    }

    fn take(&self, names: &[String]) {
        let told: Vec<SocketAddr> = names.iter().filter_map(|name| name.parse().ok()).collect();
        if told.is_empty() {
            return;
        }
        let seeds = self.seeds.lock().expect("no holder panics").clone();
        let mut known = self.known.lock().expect("no holder panics");
        *known = told;
        let missing = seeds.iter().filter(|seed| !known.contains(seed));
        let missing: Vec<SocketAddr> = missing.copied().collect();
        known.extend(missing);
    }
}

/// Follows control instances for as long as the process runs, beginning with number `first`.
pub async fn run(
    state: Arc<EntryState>,
    controls: Arc<Controls>,
    client: RpcClient,
    first: usize,
    loops: usize,
) {
    let mut position = first;
    let mut followed: Option<SocketAddr> = None;
    loop {
        let known = controls.list();
        let target = known[position % known.len()];
        match ask(&state, &client, target).await {
            Some(reply) if reply.is_led => {
                if followed != Some(target) {
                    info!(state.events.rare(), "follows a control instance";
                        "control" => target.to_string());
                    followed = Some(target);
                }
                controls.take(&reply.controls);
                take(&state, reply);
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
                    take(&state, reply);
                }
                position += loops;
                sleep(PAUSE).await;
            }
        }
    }
}

async fn ask(state: &EntryState, client: &RpcClient, target: SocketAddr) -> Option<FollowReply> {
    let in_force = state.in_force().configuration;
    let version = in_force.map_or(Version(0), |configuration| configuration.version);
    let list = state.list();
    let crashes = state.crashes.lock().expect("no holder panics").list();
    let request = FollowRequest {
        version: Some(version),
        list_mark: list.mark,
        roster_mark: state.roster_mark(),
        crashes,
        wait_ms: WAIT.as_millis() as u64,
    };
    match client.call(target, &Call::Follow(request), TIMEOUT).await {
        Ok(Reply::Follow(reply)) => Some(*reply),
        Ok(Reply::Control(_) | Reply::News(_)) | Err(_) => None,
    }
}

fn take(state: &EntryState, reply: FollowReply) {
    let now = Instant::now();
    match reply.configuration {
        ConfigurationUpdate::Same => {}
        ConfigurationUpdate::Whole(configuration) => {
            state.take_configuration(Arc::new(*configuration));
        }
        ConfigurationUpdate::Changes(changes) => take_changes(state, &changes),
    }
    if let Some(age_ms) = reply.list_age_ms {
        let age = Duration::from_millis(age_ms);
        let read_at = now.checked_sub(age).unwrap_or(now);
        let list = match reply.list {
            Some(records) => ListedUpstreams::new(records, read_at),
            None => ListedUpstreams {
                read_at: Some(read_at),
                ..state.list()
            },
        };
        state.take_list(list);
    }
    if let Some((mark, names)) = reply.roster {
        state.take_roster(mark, names);
    }
    let mut crashes = state.crashes.lock().expect("no holder panics");
    crashes.add(&reply.crashes, now);
}

/// Makes the changes that follow the version in force.
fn take_changes(state: &EntryState, changes: &[Applied]) {
    let Some(held) = state.in_force().configuration else {
        return;
    };
    let mut next = Configuration::clone(&held);
    for applied in changes {
        let Verdict::Accepted { version } = applied.verdict else {
            continue;
        };
        if version <= next.version {
            continue;
        }
        if version != next.version.next() {
            break;
        }
        replay(&mut next, &applied.change, applied.at_ms, version);
    }
    if next.version > held.version {
        state.take_configuration(Arc::new(next));
    }
}
