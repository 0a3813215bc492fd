//! Keys without a token: what a restarted instance learns from its partners, and what one that
//! stops as planned leaves with them.

use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::InstanceId;

use crate::peer_message::{PeerReply, PeerRequest};
use crate::state::State;

/// Time between two tries to learn from the partners that have not replied yet.
const TRY_EVERY: Duration = Duration::from_millis(500);

/// Learns from every other instance once, and returns when all have replied.
pub async fn run(state: Arc<State>) {
    let mut waiting: Vec<InstanceId> = state
        .topology
        .instance_ids()
        .filter(|id| *id != state.me)
        .collect();
    while !waiting.is_empty() {
        let mut unheard = Vec::new();
        for partner in waiting {
            if !learn(&state, partner).await {
                unheard.push(partner);
            }
        }
        waiting = unheard;
        tokio::time::sleep(TRY_EVERY).await;
    }
}

async fn learn(state: &State, partner: InstanceId) -> bool {
    let asked = state
        .peers
        .call(partner, &PeerRequest::SyncClaims { boot: state.boot })
        .await;
    match asked {
        Ok(PeerReply::Claims(Some(sync))) => {
            state.claims.sync_from(partner, sync);
            true
        }
        Ok(PeerReply::Claims(None)) => true,
        _ => false,
    }
}

/// Leaves the records that each partner shares with this instance there, before a planned stop.
pub async fn leave(state: &Arc<State>) {
    for partner in state.topology.instance_ids().filter(|id| *id != state.me) {
        if let Some(records) = state.claims.bare_export(partner) {
            let message = PeerRequest::HandOverBare {
                boot: state.boot,
                records,
            };
            let _ = state.peers.call(partner, &message).await;
        }
    }
}
