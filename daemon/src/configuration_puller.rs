//! Brings the configuration of this instance up to what its peers have.

use std::sync::Arc;

use laburnumdeal_model::{Digest, InstanceId, Version};
use slog::{error, info};

use crate::configuration_view::Offered;
use crate::peer_message::{PeerReply, PeerRequest};
use crate::state::State;

/// Compares what a peer has with what is in force here, and pulls it when it is later.
pub fn compare(state: &Arc<State>, from: InstanceId, version: Version, digest: Option<Digest>) {
    let Some(digest) = digest else {
        return;
    };
    let known = state.configuration.digest();
    if known.is_none() || version > state.configuration.version() {
        tokio::spawn(pull_alone(state.clone(), from));
    } else if version == state.configuration.version() && known != Some(digest) {
        let name = &state.topology.instance(from).name;
        error!(state.log, "peer has this version with other contents";
            "peer" => name, "version" => version.0);
    }
}

/// Pulls unless another pull is under way; the next heartbeat tells again of what is missing.
async fn pull_alone(state: Arc<State>, from: InstanceId) {
    if let Ok(_alone) = state.pulling.try_lock() {
        pull(state.clone(), from).await;
    }
}

/// Pulls the configuration from a peer; a control replica gets it from its own log instead.
async fn pull(state: Arc<State>, from: InstanceId) {
    if state.replica.is_some() {
        return;
    }
    let have = state
        .configuration
        .is_known()
        .then(|| state.configuration.version());
    let offered = match state.peers.call(from, &PeerRequest::Pull { have }).await {
        Ok(PeerReply::Whole(configuration)) => state.configuration.offer(configuration),
        Ok(PeerReply::Changes { changes, digest }) => {
            state.configuration.offer_changes(&changes, digest)
        }
        _ => return,
    };
    let offered = match offered {
        Offered::Gap => pull_whole(&state, from).await,
        other => other,
    };
    if offered == Offered::Taken {
        let name = &state.topology.instance(from).name;
        info!(state.log, "configuration in force";
            "version" => state.configuration.version().0, "from" => name);
    }
}

async fn pull_whole(state: &State, from: InstanceId) -> Offered {
    match state
        .peers
        .call(from, &PeerRequest::Pull { have: None })
        .await
    {
        Ok(PeerReply::Whole(configuration)) => state.configuration.offer(configuration),
        _ => Offered::Gap,
    }
}
