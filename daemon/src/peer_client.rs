use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Limited};
use laburnumdeal_control::{ControlReply, ControlRequest, PeerLink};
use laburnumdeal_model::{InstanceId, Topology};
use tokio::time::Instant;

use crate::connection_pool::{ConnectionPool, Freshness};
use crate::exchange;
use crate::header;
use crate::peer_error::PeerError;
use crate::peer_message::{PeerReply, PeerRequest};
use crate::peer_proof::PeerProof;
use crate::request_body::RequestBody;

/// HTTP path of messages between instances.
pub const MESSAGE_PATH: &str = "/laburnum/v1/message";

/// Maximum size of a message between instances.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Maximum number of idle connections to each other instance for messages.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Timeout of a message to another instance.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout of a bulk message to another instance.
const BULK_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends messages to other instances. Cheap to clone.
#[derive(Clone)]
pub struct PeerClient {
    shared: Arc<Shared>,
}

struct Shared {
    topology: Arc<Topology>,
    own_id: InstanceId,
    proof: PeerProof,
    pools: Vec<ConnectionPool>,
}

impl PeerClient {
    /// Creates a client without open connections.
    pub fn new(topology: Arc<Topology>, own_id: InstanceId, proof: PeerProof) -> Self {
        let pools = topology
            .instances
            .iter()
            .map(|instance| ConnectionPool::new(instance.peer_address, MAX_IDLE_CONNECTIONS))
            .collect();
        Self {
            shared: Arc::new(Shared {
                topology,
                own_id,
                proof,
                pools,
            }),
        }
    }

    /// Sends a message and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns how the exchange failed; the receiver may nevertheless have processed the message.
    pub async fn call(
        &self,
        to: InstanceId,
        message: &PeerRequest,
    ) -> Result<PeerReply, PeerError> {
        let timeout = if message.is_bulk() {
            BULK_TIMEOUT
        } else {
            MESSAGE_TIMEOUT
        };
        let deadline = Instant::now() + timeout;
        let pool = &self.shared.pools[to.index()];
        let request = self.request(to, message)?;
        let (response, guard) = exchange::send(pool, Freshness::Any, request, deadline, None)
            .await
            .map_err(|failure| failure.error)?;
        let status = response.status();
        let limited = Limited::new(response.into_body(), MAX_MESSAGE_BYTES);
        let body = match tokio::time::timeout_at(deadline, limited.collect()).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(_)) => return Err(PeerError::TruncatedReply),
            Err(_) => {
                guard.timed_out();
                return Err(PeerError::TruncatedReply);
            }
        };
        guard.complete();
        if !status.is_success() {
            let text = String::from_utf8_lossy(&body).trim().to_owned();
            return Err(PeerError::Refused {
                status: status.as_u16(),
                text,
            });
        }
        Ok(rmp_serde::from_slice(&body)?)
    }

    /// Closes connections that have been idle for long.
    pub fn close_idle(&self) {
        self.shared
            .pools
            .iter()
            .for_each(ConnectionPool::close_idle);
    }

    /// Adds the headers that authenticate this instance to a peer.
    pub fn add_proof_headers(&self, to: InstanceId, headers: &mut http::HeaderMap) {
        let from = &self.shared.topology.instance(self.shared.own_id).name;
        let to = &self.shared.topology.instance(to).name;
        headers.insert(header::PEER, header::value(from));
        headers.insert(
            header::PROOF,
            header::value(&self.shared.proof.prove(from, to)),
        );
    }

    fn request(
        &self,
        to: InstanceId,
        message: &PeerRequest,
    ) -> Result<Request<RequestBody>, PeerError> {
        let body = Bytes::from(rmp_serde::to_vec_named(message)?);
        let mut request = Request::new(RequestBody::whole(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(MESSAGE_PATH);
        let host = header::value(&self.shared.topology.instance(to).name);
        request.headers_mut().insert(http::header::HOST, host);
        self.add_proof_headers(to, request.headers_mut());
        Ok(request)
    }
}

impl PeerLink for PeerClient {
    type Error = PeerError;

    async fn call(
        &self,
        to: InstanceId,
        request: ControlRequest,
    ) -> Result<ControlReply, PeerError> {
        match self.call(to, &PeerRequest::Control(request)).await? {
            PeerReply::Control(reply) => Ok(reply),
            _ => Err(PeerError::UnexpectedReply),
        }
    }
}
