use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use laburnumdeal_cli::{Client, ClientSettings, Token};
use laburnumdeal_language::{OperatorReply, OperatorRequest};
use laburnumdeal_model::{CommandId, Verdict};

use crate::plan::OPERATOR_TOKEN;

/// Returns a command id that this process has not used before.
fn new_id() -> CommandId {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("test-{}-{number}", std::process::id())
        .parse()
        .expect("the text is a command id")
}

/// An operator at one instance.
pub struct Operator {
    client: Client,
}

impl Operator {
    /// Returns an operator with the token of the tests.
    pub fn new(address: SocketAddr) -> Self {
        let token = Token::parse(OPERATOR_TOKEN).expect("the token of the tests is well formed");
        let client = Client::new(ClientSettings {
            addresses: vec![address.to_string()],
            token,
            connect_timeout_ms: 2_000,
            timeout_ms: 30_000,
        });
        Self { client }
    }

    /// Sends a command and returns the reply.
    pub async fn run_command(&self, command: &str) -> OperatorReply {
        self.send(OperatorRequest {
            command: command.to_owned(),
            ..Default::default()
        })
        .await
    }

    /// Sends a request and returns the reply. A request without a command id gets a new one.
    pub async fn send(&self, mut request: OperatorRequest) -> OperatorReply {
        if request.command_id.is_none() {
            request.command_id = Some(new_id());
        }
        self.client.send(&request).await
    }

    /// Sends a change that must be accepted, and returns its version and who has it in force.
    ///
    /// # Panics
    ///
    /// Panics when the change is not accepted.
    pub async fn change(&self, command: &str) -> (u64, Vec<String>) {
        match self.run_command(command).await {
            OperatorReply::Verdict(reply) => match reply.verdict {
                Verdict::Accepted { version } => (version.0, reply.in_force),
                other => panic!("{command:?} was {other}"),
            },
            other => panic!("{command:?} got {other:?}"),
        }
    }

    /// Sends a question and returns the rows of its table.
    ///
    /// # Panics
    ///
    /// Panics when the reply is no table.
    pub async fn rows(&self, command: &str) -> Vec<Vec<String>> {
        match self.run_command(command).await {
            OperatorReply::Table(table) => table.rows,
            other => panic!("{command:?} got {other:?}"),
        }
    }
}
