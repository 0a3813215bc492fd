use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use laburnumdeal_language::{COMMAND_PATH, ErrorReply, OperatorReply};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::{ClientError, ClientSettings};

/// Maximum size of a reply; a longer one counts as lost.
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// HTTP exchange of one command with one instance, on its own connection.
pub(crate) struct Exchange<'a> {
    pub(crate) settings: &'a ClientSettings,
    pub(crate) address: &'a str,
    pub(crate) timeout_ms: u64,
}

impl Exchange<'_> {
    /// Sends the command and returns the reply. The error says whether any byte of the request may
    /// have been sent.
    pub(crate) async fn run(&self, body: Bytes) -> Result<OperatorReply, ClientError> {
        let request = self.build_request(body)?;
        let (mut sender, connection_task) = self.connect().await?;
        let reply_timeout = Duration::from_millis(self.timeout_ms);
        let reply = timeout(reply_timeout, self.send(&mut sender, request)).await;
        connection_task.abort();
        reply.unwrap_or_else(|_| {
            let reason = format!("no answer within {} ms", self.timeout_ms);
            Err(self.lost(reason))
        })
    }

    async fn connect(&self) -> Result<(SendRequest<Full<Bytes>>, JoinHandle<()>), ClientError> {
        let timeout_ms = self.settings.connect_timeout_ms;
        let connect = TcpStream::connect(self.address);
        let stream = match timeout(Duration::from_millis(timeout_ms), connect).await {
            Ok(stream) => stream.map_err(|error| self.not_sent(error.to_string()))?,
            Err(_) => return Err(self.not_sent(format!("no connection within {timeout_ms} ms"))),
        };
        let connection = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = connection.map_err(|error| self.not_sent(error.to_string()))?;
        let connection_task = tokio::spawn(async move {
            // The request on this connection returns the same failure.
            let _ = connection.await;
        });
        Ok((sender, connection_task))
    }

    async fn send(
        &self,
        sender: &mut SendRequest<Full<Bytes>>,
        request: Request<Full<Bytes>>,
    ) -> Result<OperatorReply, ClientError> {
        let response = sender.try_send_request(request).await;
        let response = response.map_err(|mut error| match error.take_message() {
            Some(_) => self.not_sent(error.into_error().to_string()),
            None => self.lost(error.into_error().to_string()),
        })?;
        let status = response.status();
        let body = self.read_body(response.into_body()).await?;
        self.parse_reply(status, &body)
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, ClientError> {
        let collected = Limited::new(body, MAX_REPLY_BYTES).collect().await;
        collected
            .map(|collected| collected.to_bytes())
            .map_err(|error| self.lost(format!("the answer is not whole: {error}")))
    }

    fn parse_reply(&self, status: StatusCode, body: &[u8]) -> Result<OperatorReply, ClientError> {
        match serde_json::from_slice(body) {
            Ok(reply) => Ok(reply),
            Err(_) if means_not_run(status) => {
                let message = format!("{} refused the command with status {status}", self.address);
                Ok(OperatorReply::Error(ErrorReply::new(message)))
            }
            Err(error) => Err(self.lost(format!("status {status} with no valid answer: {error}"))),
        }
    }

    fn build_request(&self, body: Bytes) -> Result<Request<Full<Bytes>>, ClientError> {
        Request::post(COMMAND_PATH)
            .header(HOST, self.address)
            .header(AUTHORIZATION, self.settings.token.header())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| self.not_sent(error.to_string()))
    }

    fn not_sent(&self, reason: String) -> ClientError {
        ClientError::NotSent {
            address: self.address.to_owned(),
            reason,
        }
    }

    fn lost(&self, reason: String) -> ClientError {
        ClientError::Lost {
            address: self.address.to_owned(),
            reason,
        }
    }
}

/// Returns whether an HTTP status rules out that the command ran. 408 does not.
fn means_not_run(status: StatusCode) -> bool {
    status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT
}
