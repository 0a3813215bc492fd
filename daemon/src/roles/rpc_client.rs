use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http::{HeaderValue, Method, Request};
use http_body_util::{BodyExt, Limited};
use laburnumdeal_control::{ControlReply, ControlRequest, InstanceNames, PeerLink};
use laburnumdeal_model::InstanceId;
use tokio::time::Instant;

use crate::connection_pool::{ConnectionPool, Freshness};
use crate::exchange;
use crate::exchange_error::ExchangeError;
use crate::packing::{PackingError, pack, unpack};
use crate::request_body::RequestBody;
use crate::roles::follow_message::{Call, Reply};

/// Path of messages to control instances.
pub const CALL_PATH: &str = "/laburnum/v2/call";

/// Longest reply that is accepted.
const MAX_REPLY_BYTES: usize = 32 * 1024 * 1024;

/// Idle connections that are kept to each control instance.
const IDLE_CONNECTIONS: usize = 4;

/// Timeout of a message between replicas.
const REPLICA_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Reports why a message got no reply. The receiver may have processed the message all the same.
#[derive(Debug, Display, Error, From)]
pub enum RpcError {
    /// The HTTP exchange failed.
    #[display("{_0}")]
    Exchange(ExchangeError),
    /// The message could not be encoded, or its reply decoded.
    #[display("{_0}")]
    Packing(PackingError),
    /// The body of the reply was truncated, too long or too late.
    #[display("reply broke off")]
    #[from(ignore)]
    Body,
    /// The reply does not match the kind of the message.
    #[display("reply of another kind")]
    #[from(ignore)]
    WrongKind,
    /// The name of an instance is not a socket address.
    #[display("instance {name:?} is no address")]
    #[from(ignore)]
    NoAddress {
        /// Name of the instance.
        name: String,
    },
}

/// Client for messages to control instances. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct RpcClient {
    pools: Arc<Mutex<HashMap<SocketAddr, ConnectionPool>>>,
}

impl RpcClient {
    /// Sends a message and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no valid reply within `timeout`.
    pub async fn call(
        &self,
        to: SocketAddr,
        call: &Call,
        timeout: Duration,
    ) -> Result<Reply, RpcError> {
        let deadline = Instant::now() + timeout;
        let pool = self.pool(to);
        let mut request = Request::new(RequestBody::whole(Bytes::from(pack(call)?)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = http::Uri::from_static(CALL_PATH);
        let host = HeaderValue::from_static("laburnumdeal");
        request.headers_mut().insert(http::header::HOST, host);
        let (response, guard) = exchange::send(&pool, Freshness::Any, request, deadline, None)
            .await
            .map_err(|failure| failure.error)?;
        let limited = Limited::new(response.into_body(), MAX_REPLY_BYTES);
        let body = match tokio::time::timeout_at(deadline, limited.collect()).await {
            Ok(Ok(collected)) => collected.to_bytes(),
            Ok(Err(_)) => return Err(RpcError::Body),
            Err(_) => {
                guard.timed_out();
                return Err(RpcError::Body);
            }
        };
        guard.complete();
        Ok(unpack(&body, MAX_REPLY_BYTES)?)
    }

    fn pool(&self, to: SocketAddr) -> ConnectionPool {
        let mut pools = self.pools.lock().expect("no holder panics");
        let pool = pools.entry(to);
        pool.or_insert_with(|| ConnectionPool::new(to, IDLE_CONNECTIONS))
            .clone()
    }
}

/// Transport of messages between replicas, whose names are their addresses.
#[derive(Clone, Debug)]
pub struct ReplicaLink {
    client: RpcClient,
    names: Arc<InstanceNames>,
    own_name: String,
}

impl ReplicaLink {
    /// Creates the link of the replica with the name `own_name`.
    pub fn new(client: RpcClient, names: Arc<InstanceNames>, own_name: String) -> Self {
        Self {
            client,
            names,
            own_name,
        }
    }
}

impl PeerLink for ReplicaLink {
    type Error = RpcError;

    async fn call(
        &self,
        to: InstanceId,
        request: ControlRequest,
    ) -> Result<ControlReply, RpcError> {
        let name = self.names.name(to);
        let address = name.parse();
        let address: SocketAddr = address.map_err(|_| RpcError::NoAddress { name })?;
        let call = Call::Control {
            from: self.own_name.clone(),
            request,
        };
        match self.client.call(address, &call, REPLICA_TIMEOUT).await? {
            Reply::Control(reply) => Ok(reply),
            _ => Err(RpcError::WrongKind),
        }
    }
}
