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

/// Longest accepted answer.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// One command sent to one address on a connection of its own.
pub(crate) struct Exchange<'a> {
    pub(crate) settings: &'a ClientSettings,
    pub(crate) address: &'a str,
    pub(crate) deadline_ms: u64,
}

impl Exchange<'_> {
    /// Returns the answer, or whether a byte had left when it failed.
    pub(crate) async fn run(&self, body: Bytes) -> Result<OperatorReply, ClientError> {
        let request = self.request(body)?;
        let (mut sender, driver) = self.connect().await?;
        let deadline = Duration::from_millis(self.deadline_ms);
        let answer = timeout(deadline, self.exchange(&mut sender, request)).await;
        driver.abort();
        answer.unwrap_or_else(|_| {
            let reason = format!("no answer within {} ms", self.deadline_ms);
            Err(self.lost(reason))
        })
    }

    async fn connect(&self) -> Result<(SendRequest<Full<Bytes>>, JoinHandle<()>), ClientError> {
        let limit_ms = self.settings.connect_timeout_ms;
        let connecting = TcpStream::connect(self.address);
        let stream = match timeout(Duration::from_millis(limit_ms), connecting).await {
            Ok(stream) => stream.map_err(|error| self.not_sent(error.to_string()))?,
            Err(_) => return Err(self.not_sent(format!("no connection within {limit_ms} ms"))),
        };
        let connection = handshake(TokioIo::new(stream)).await;
        let (sender, connection) = connection.map_err(|error| self.not_sent(error.to_string()))?;
        let driver = tokio::spawn(async move {
            // The exchange itself reports a failed connection.
            let _ = connection.await;
        });
        Ok((sender, driver))
    }

    async fn exchange(
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
        let body = self.collect(response.into_body()).await?;
        self.read(status, &body)
    }

    async fn collect(&self, body: Incoming) -> Result<Bytes, ClientError> {
        let whole = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        whole
            .map(|whole| whole.to_bytes())
            .map_err(|error| self.lost(format!("the answer is not whole: {error}")))
    }

    fn read(&self, status: StatusCode, body: &[u8]) -> Result<OperatorReply, ClientError> {
        match serde_json::from_slice(body) {
            Ok(reply) => Ok(reply),
            Err(_) if is_refusal(status) => {
                let message = format!("{} refused the command with status {status}", self.address);
                Ok(OperatorReply::Error(ErrorReply::new(message)))
            }
            Err(error) => Err(self.lost(format!("status {status} with no valid answer: {error}"))),
        }
    }

    fn request(&self, body: Bytes) -> Result<Request<Full<Bytes>>, ClientError> {
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

/// Returns whether a status says that the command did not run.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() && status != StatusCode::REQUEST_TIMEOUT
}
