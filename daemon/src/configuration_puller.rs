//! Pulls newer configurations from peers.

use std::sync::Arc;

use laburnumdeal_model::{Digest, InstanceId, Version};
use slog::{error, info};

use crate::configuration_view::InstallResult;
use crate::peer_message::{PeerReply, PeerRequest};
use crate::state::State;

/// Compares a peer's configuration with the one in force here, and pulls it when it is newer.
pub fn pull_if_newer(
    state: &Arc<State>,
    from: InstanceId,
    version: Version,
    digest: Option<Digest>,
) {
    let Some(digest) = digest else {
        return;
    };
    let own_digest = state.configuration.digest();
    if own_digest.is_none() || version > state.configuration.version() {
        tokio::spawn(pull_unless_running(state.clone(), from));
    } else if version == state.configuration.version() && own_digest != Some(digest) {
        let name = &state.topology.instance(from).name;
        error!(state.log, "peer has the same configuration version with different contents";
            "peer" => name, "version" => version.0);
    }
}

/// Pulls unless another pull is running; the next heartbeat triggers a skipped pull again.
async fn pull_unless_running(state: Arc<State>, from: InstanceId) {
    if let Ok(_lock) = state.pull_lock.try_lock() {
        pull(state.clone(), from).await;
    }
}

/// Pulls the configuration from a peer. A control instance gets it from its own change log instead.
async fn pull(state: Arc<State>, from: InstanceId) {
    if state.replica.is_some() {
        return;
    }
    let have = state
        .configuration
        .is_known()
        .then(|| state.configuration.version());
    let result = match state
        .peer_client
        .call(from, &PeerRequest::Pull { have })
        .await
    {
        Ok(PeerReply::Whole(configuration)) => state.configuration.install(configuration),
        Ok(PeerReply::Changes { changes, digest }) => {
            state.configuration.install_changes(&changes, digest)
        }
        _ => return,
    };
    let result = match result {
        InstallResult::Gap => pull_whole(&state, from).await,
        other => other,
    };
    if result == InstallResult::Installed {
        let name = &state.topology.instance(from).name;
        info!(state.log, "installed configuration from peer";
            "version" => state.configuration.version().0, "from" => name);
    }
}

async fn pull_whole(state: &State, from: InstanceId) -> InstallResult {
    match state
        .peer_client
        .call(from, &PeerRequest::Pull { have: None })
        .await
    {
        Ok(PeerReply::Whole(configuration)) => state.configuration.install(configuration),
        _ => InstallResult::Gap,
    }
}
