//! Synchronization of claims for keys without a token: an instance that starts fetches them from
//! its partners, the other instances, and one that stops as planned hands them over.

use std::sync::Arc;
use std::time::Duration;

use laburnumdeal_model::InstanceId;

use crate::peer_message::{PeerReply, PeerRequest};
use crate::state::State;

/// Time between two attempts to reach the partners that have not replied yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Fetches the claims from every other instance once and returns when all have replied.
pub async fn run(state: Arc<State>) {
    let mut pending: Vec<InstanceId> = state
        .topology
        .instance_ids()
        .filter(|id| *id != state.own_id)
        .collect();
    while !pending.is_empty() {
        let mut unanswered = Vec::new();
        for partner in pending {
            if !sync_with(&state, partner).await {
                unanswered.push(partner);
            }
        }
        pending = unanswered;
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn sync_with(state: &State, partner: InstanceId) -> bool {
    let reply = state
        .peer_client
        .call(partner, &PeerRequest::SyncClaims { boot: state.boot })
        .await;
    match reply {
        Ok(PeerReply::Claims(Some(sync))) => {
            state.claims.sync_from(partner, sync);
            true
        }
        Ok(PeerReply::Claims(None)) => true,
        _ => false,
    }
}

/// Hands over to each partner the records that it shares with this instance, before a planned stop.
pub async fn hand_over(state: &Arc<State>) {
    for partner in state
        .topology
        .instance_ids()
        .filter(|id| *id != state.own_id)
    {
        if let Some(records) = state.claims.export_tokenless(partner) {
            let message = PeerRequest::HandOverBare {
                boot: state.boot,
                records,
            };
            let _ = state.peer_client.call(partner, &message).await;
        }
    }
}
