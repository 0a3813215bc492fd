use std::future::Future;

use derive_more::{Display, Error};
use laburnumdeal_model::InstanceId;

use crate::{ControlReply, ControlRequest};

/// Transport to the other replicas. It may lose, delay, duplicate and reorder requests.
pub trait PeerLink: Clone + Send + Sync + 'static {
    /// Reason why a request got no reply. The receiver may still have processed the request.
    type Error: std::fmt::Display + Send;

    /// Sends a request and waits for the reply.
    fn call(
        &self,
        to: InstanceId,
        request: ControlRequest,
    ) -> impl Future<Output = Result<ControlReply, Self::Error>> + Send;
}

/// [`PeerLink`] of a replica that is the only one.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

/// Error of [`NoPeers`]: there are no other replicas.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("there are no other replicas")]
pub struct NoPeersError;

impl PeerLink for NoPeers {
    type Error = NoPeersError;

    async fn call(&self, _: InstanceId, _: ControlRequest) -> Result<ControlReply, NoPeersError> {
        Err(NoPeersError)
    }
}
