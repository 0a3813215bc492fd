//! Borrows parts of other instances' shares of caps when this instance's own shares are exhausted.

use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_policy::CapKey;
use tokio::time::Instant;

use crate::peer_message::{PeerReply, PeerRequest};
use crate::state::State;

/// Time between two checks for refused demand.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Checks the demand for every cap and borrows for as long as the process runs.
pub async fn run(state: Arc<State>) {
    let keys = cap_keys(&state);
    let mut ticks = tokio::time::interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for key in &keys {
            let amount_per_s = state.shares.demand(*key, Instant::now());
            if amount_per_s > 0 && !state.configuration.is_fenced() {
                borrow(&state, *key, amount_per_s).await;
            }
        }
    }
}

/// Asks a random lender for a part of its share.
async fn borrow(state: &State, key: CapKey, amount_per_s: u64) {
    let now = Instant::now();
    let mut lenders = state.shares.lenders(key);
    lenders.retain(|id| state.membership.state(*id, now).takes_work());
    if lenders.is_empty() {
        return;
    }
    let lender = lenders[state.random_below(lenders.len())];
    let asked_at = Instant::now();
    let reply = state
        .peer_client
        .call(lender, &PeerRequest::Borrow { key, amount_per_s })
        .await;
    if let Ok(PeerReply::Granted(Some(grant))) = reply {
        state.shares.accept_grant(&grant, asked_at, Instant::now());
    }
}

/// Returns every cap of which this instance may have a share.
fn cap_keys(state: &State) -> Vec<CapKey> {
    let own_region = state.topology.region_of(state.own_zone);
    let links = state
        .topology
        .links
        .iter()
        .filter(|link| link.from == own_region);
    let mut keys = vec![CapKey::Region(own_region)];
    keys.extend(links.map(|link| CapKey::Link(link.from, link.to)));
    keys.extend(state.topology.service_ids().map(CapKey::Shift));
    keys
}
