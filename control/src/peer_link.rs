use std::future::Future;

use derive_more::{Display, Error};
use laburnumdeal_model::InstanceId;

use crate::{ControlReply, ControlRequest};

/// Carries requests to other replicas. It may lose, delay, repeat and reorder them.
pub trait PeerLink: Clone + Send + Sync + 'static {
    /// Why a request has no reply; the receiver may have acted on it all the same.
    type Error: std::fmt::Display + Send;

    /// Sends a request and returns the reply.
    fn call(
        &self,
        to: InstanceId,
        request: ControlRequest,
    ) -> impl Future<Output = Result<ControlReply, Self::Error>> + Send;
}

/// Link of a replica that is the only one.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

/// Reports that there are no other replicas.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("there are no other replicas")]
pub struct NoPeersError;

impl PeerLink for NoPeers {
    type Error = NoPeersError;

    async fn call(&self, _: InstanceId, _: ControlRequest) -> Result<ControlReply, NoPeersError> {
        Err(NoPeersError)
    }
}
