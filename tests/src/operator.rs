use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use laburnumdeal_cli::{Client, ClientSettings, Token};
use laburnumdeal_language::{OperatorReply, OperatorRequest};
use laburnumdeal_model::{CommandId, Verdict};

use crate::plan::OPERATOR_TOKEN;

/// Returns a command id that is unique in this process.
fn new_id() -> CommandId {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("test-{}-{number}", std::process::id())
        .parse()
        .expect("the generated command id is valid")
}

/// Operator client of one instance.
pub struct Operator {
    client: Client,
}

impl Operator {
    /// Returns a client with the operator token of the tests.
    pub fn new(address: SocketAddr) -> Self {
        let token = Token::parse(OPERATOR_TOKEN).expect("the operator token of the tests is valid");
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

    /// Sends a request, with a new command id if it has none, and returns the reply.
    pub async fn send(&self, mut request: OperatorRequest) -> OperatorReply {
        if request.command_id.is_none() {
            request.command_id = Some(new_id());
        }
        self.client.send(&request).await
    }

    /// Sends a change and returns its version and the instances that have it in force.
    ///
    /// # Panics
    ///
    /// Panics when the change is not accepted.
    pub async fn change(&self, command: &str) -> (u64, Vec<String>) {
        match self.run_command(command).await {
            OperatorReply::Verdict(reply) => match reply.verdict {
                Verdict::Accepted { version } => (version.0, reply.in_force),
                other => panic!("{command:?} was not accepted: {other}"),
            },
            other => panic!("{command:?} got no verdict: {other:?}"),
        }
    }

    /// Sends a query and returns the rows of its table.
    ///
    /// # Panics
    ///
    /// Panics when the reply is not a table.
    pub async fn rows(&self, command: &str) -> Vec<Vec<String>> {
        match self.run_command(command).await {
            OperatorReply::Table(table) => table.rows,
            other => panic!("{command:?} got no table: {other:?}"),
        }
    }
}
