use bytes::Bytes;
use laburnumdeal_language::{ErrorReply, OperatorReply, OperatorRequest};
use laburnumdeal_model::CommandId;

use crate::exchange::Exchange;
use crate::{ClientError, ClientSettings};

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
    /// A change goes to another instance only while no byte of it has left; when its answer is
    /// lost the outcome is unknown. Queries and dry runs go to the next instance in any case.
    pub async fn send(&self, request: &OperatorRequest) -> OperatorReply {
        let body = match serde_json::to_vec(request) {
            Ok(body) => Bytes::from(body),
            Err(error) => return OperatorReply::Error(ErrorReply::new(error.to_string())),
        };
        let wait_ms = request.wait_ms.unwrap_or(0);
        let mut failures = Vec::new();
        for address in &self.settings.addresses {
            let exchange = Exchange {
                settings: &self.settings,
                address,
                deadline_ms: self.settings.timeout_ms.saturating_add(wait_ms),
            };
            let answer = exchange.run(body.clone()).await;
            match (answer, changing_id(request)) {
                (Ok(reply), _) => return checked(reply, request, address),
                (Err(error @ ClientError::Lost { .. }), Some(id)) => return unknown(id, error),
                (Err(error), _) => failures.push(error.to_string()),
            }
        }
        OperatorReply::NotRun {
            reason: format!("no instance answered: {}", failures.join("; ")),
            retry_after_ms: RETRY_AFTER_MS,
        }
    }
}

/// Returns the id of a request that may change the configuration.
fn changing_id(request: &OperatorRequest) -> Option<&CommandId> {
    request.command_id.as_ref().filter(|_| !request.dry_run)
}

/// Returns the reply when it belongs to the request.
fn checked(reply: OperatorReply, request: &OperatorRequest, address: &str) -> OperatorReply {
    let answered = match &reply {
        OperatorReply::Verdict(change) => Some(&change.command_id),
        OperatorReply::Unknown { command_id, .. } => Some(command_id),
        _ => None,
    };
    if answered.is_none() || answered == request.command_id.as_ref() {
        return reply;
    }
    let reason = "the answer belongs to another command".to_owned();
    let address = address.to_owned();
    match changing_id(request) {
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
