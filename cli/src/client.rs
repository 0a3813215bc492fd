use bytes::Bytes;
use laburnumdeal_language::{ErrorReply, OperatorReply, OperatorRequest};
use laburnumdeal_model::CommandId;

use crate::exchange::Exchange;
use crate::{ClientError, ClientSettings, PreparedCommand};

/// Time after which another attempt makes sense when no instance could be reached.
const RETRY_AFTER_MS: u64 = 1_000;

/// Sends commands to the first instance that can be reached.
#[derive(Clone, Debug)]
pub struct Client {
    settings: ClientSettings,
}

impl Client {
    /// Returns a client; it connects anew for each command.
    pub fn new(settings: ClientSettings) -> Self {
        Self { settings }
    }

    /// Returns the answer to a command.
    ///
    /// A change gets an id when it has none. It goes to another instance only while no byte of it
    /// has left or when an instance says that it did not run; when its answer is lost the outcome
    /// is unknown. Queries and dry runs go to the next instance in any case.
    pub async fn send(&self, request: &OperatorRequest) -> OperatorReply {
        match PreparedCommand::from_request(request) {
            Ok(prepared) => self.send_prepared(&prepared).await,
            Err(error) => OperatorReply::Error(error.into()),
        }
    }

    /// Returns the answer to a prepared command.
    pub async fn send_prepared(&self, prepared: &PreparedCommand) -> OperatorReply {
        let body = match serde_json::to_vec(&prepared.request) {
            Ok(body) => Bytes::from(body),
            Err(error) => return OperatorReply::Error(ErrorReply::new(error.to_string())),
        };
        let wait_ms = prepared.request.wait_ms.unwrap_or(0);
        let mut failures = Vec::new();
        let mut wait_least_ms = RETRY_AFTER_MS;
        for address in &self.settings.addresses {
            let exchange = Exchange {
                settings: &self.settings,
                address,
                deadline_ms: self.settings.timeout_ms.saturating_add(wait_ms),
            };
            let answer = exchange.run(body.clone()).await;
            match (answer, prepared.changing_id()) {
                (
                    Ok(OperatorReply::NotRun {
                        reason,
                        retry_after_ms,
                    }),
                    _,
                ) => {
                    failures.push(format!("{address}: {reason}"));
                    wait_least_ms = retry_after_ms;
                }
                (Ok(reply), _) => return checked(reply, prepared, address),
                (Err(error @ ClientError::Lost { .. }), Some(id)) => return unknown(id, error),
                (Err(error), _) => failures.push(error.to_string()),
            }
        }
        OperatorReply::NotRun {
            reason: failures.join("; "),
            retry_after_ms: wait_least_ms,
        }
    }
}

/// Returns the reply when it belongs to the command.
fn checked(reply: OperatorReply, prepared: &PreparedCommand, address: &str) -> OperatorReply {
    let answered = match &reply {
        OperatorReply::Verdict(change) => Some(&change.command_id),
        OperatorReply::Unknown { command_id, .. } => Some(command_id),
        _ => None,
    };
    if answered.is_none() || answered == prepared.request.command_id.as_ref() {
        return reply;
    }
    let reason = "the answer belongs to another command".to_owned();
    let address = address.to_owned();
    match prepared.changing_id() {
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
