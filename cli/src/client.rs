use bytes::Bytes;
use laburnumdeal_language::{ErrorReply, OperatorReply, OperatorRequest};
use laburnumdeal_model::CommandId;

use crate::exchange::Exchange;
use crate::{ClientError, ClientSettings, PreparedCommand};

/// Delay before a retry that the client reports when no instance could be reached; otherwise the
/// last instance that replied "not run" sets it.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Sends commands to the first reachable instance.
#[derive(Clone, Debug)]
pub struct Client {
    settings: ClientSettings,
}

impl Client {
    /// Returns a client that opens a new connection for each attempt.
    pub fn new(settings: ClientSettings) -> Self {
        Self { settings }
    }

    /// Sends a command and returns the reply.
    ///
    /// A change without an id gets a random one. It is sent to the next instance only if no byte
    /// of it was sent or the instance replied that it did not run; if the reply is lost, the
    /// outcome is unknown. Queries and dry runs change nothing and are also retried after a lost
    /// reply.
    pub async fn send(&self, request: &OperatorRequest) -> OperatorReply {
        match PreparedCommand::from_request(request) {
            Ok(prepared) => self.send_prepared(&prepared).await,
            Err(error) => OperatorReply::Error(error.into()),
        }
    }

    /// Sends a prepared command and returns the reply, with the retries of [`Client::send`].
    pub async fn send_prepared(&self, prepared: &PreparedCommand) -> OperatorReply {
        let body = match serde_json::to_vec(&prepared.request) {
            Ok(body) => Bytes::from(body),
            Err(error) => return OperatorReply::Error(ErrorReply::new(error.to_string())),
        };
        let wait_ms = prepared.request.wait_ms.unwrap_or(0);
        let mut failures = Vec::new();
        let mut last_retry_after_ms = DEFAULT_RETRY_AFTER_MS;
        for address in &self.settings.addresses {
            let exchange = Exchange {
                settings: &self.settings,
                address,
                timeout_ms: self.settings.timeout_ms.saturating_add(wait_ms),
            };
            let result = exchange.run(body.clone()).await;
            match (result, prepared.mutating_command_id()) {
                (
                    Ok(OperatorReply::NotRun {
                        reason,
                        retry_after_ms,
                    }),
                    _,
                ) => {
                    failures.push(format!("{address}: {reason}"));
                    last_retry_after_ms = retry_after_ms;
                }
                (Ok(reply), _) => return check_command_id(reply, prepared, address),
                (Err(error @ ClientError::Lost { .. }), Some(id)) => return unknown(id, error),
                (Err(error), _) => failures.push(error.to_string()),
            }
        }
        OperatorReply::NotRun {
            reason: failures.join("; "),
            retry_after_ms: last_retry_after_ms,
        }
    }
}

/// Returns the reply if it has the id of the command or carries none. Otherwise the outcome of a
/// change is unknown, and a query or dry run fails.
fn check_command_id(
    reply: OperatorReply,
    prepared: &PreparedCommand,
    address: &str,
) -> OperatorReply {
    let replied_id = match &reply {
        OperatorReply::Verdict(change) => Some(&change.command_id),
        OperatorReply::Unknown { command_id, .. } => Some(command_id),
        _ => None,
    };
    if replied_id.is_none() || replied_id == prepared.request.command_id.as_ref() {
        return reply;
    }
    let reason = "the answer belongs to another command".to_owned();
    let address = address.to_owned();
    match prepared.mutating_command_id() {
        Some(id) => unknown(id, ClientError::Lost { address, reason }),
        None => OperatorReply::Error(ErrorReply::new(format!("{address}: {reason}"))),
    }
}

fn unknown(id: &CommandId, error: ClientError) -> OperatorReply {
    OperatorReply::Unknown {
        command_id: id.clone(),
        reason: error.to_string(),
    }
}
