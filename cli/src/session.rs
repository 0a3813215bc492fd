use laburnumdeal_language::{Command, ErrorReply, OperatorReply, OperatorRequest, ParseError};
use laburnumdeal_model::AuditRecord;

use crate::{AuditChain, AuditError, Client, CommandOutcome, Options, PreparedCommand};

/// Records that are asked for at a time.
const AUDIT_PAGE_RECORDS: u64 = 500;

/// Runs commands under the options of one command line.
///
/// # Examples
///
/// ```
/// use laburnumdeal_cli::{Client, ClientSettings, Exit, Options, Session, Token};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
/// let options = Options::parse(["--address", "127.0.0.1:1", "show", "zones"])?;
/// let client = Client::new(ClientSettings {
///     addresses: options.addresses.clone(),
///     token: Token::parse("secret-of-nadia")?,
///     connect_timeout_ms: 2_000,
///     timeout_ms: options.timeout_ms,
/// });
/// let session = Session::new(client, options);
/// let outcome = session.run("show zones").await;
/// assert_eq!(outcome.exit(), Exit::NotRun);
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Session {
    client: Client,
    options: Options,
}

impl Session {
    /// Returns a session that sends commands by `client`.
    pub fn new(client: Client, options: Options) -> Self {
        Self { client, options }
    }

    /// Returns the outcome of a command.
    pub async fn run(&self, text: &str) -> CommandOutcome {
        match self.prepare(text) {
            Ok(prepared) => self.send(prepared).await,
            Err(error) => error.into(),
        }
    }

    /// Returns what a text stands for under the session's options.
    ///
    /// # Errors
    ///
    /// Returns the word that the grammar does not accept.
    pub fn prepare(&self, text: &str) -> Result<PreparedCommand, ParseError> {
        PreparedCommand::from_request(&OperatorRequest {
            command: text.to_owned(),
            command_id: self.options.command_id.clone(),
            base: self.options.base,
            dry_run: self.options.dry_run,
            force: self.options.force,
            wait_ms: self.options.wait_ms,
        })
    }

    /// Returns the outcome of a prepared command.
    pub async fn send(&self, prepared: PreparedCommand) -> CommandOutcome {
        match prepared.command {
            Command::AuditVerify => self.verify().await.into(),
            Command::AuditRecords {
                from_index,
                limit: None,
            } => self.all_records(from_index).await.into(),
            _ => CommandOutcome {
                reply: self.client.send_prepared(&prepared).await,
                request: Some(prepared.request),
            },
        }
    }

    async fn verify(&self) -> OperatorReply {
        let mut chain = AuditChain::default();
        loop {
            let from_index = chain.last_index.map_or(0, |index| index + 1);
            let records = match self.page(from_index).await {
                Ok(records) => records,
                Err(reply) => return reply,
            };
            if records.is_empty() {
                return audit_reply(chain.finish());
            }
            for record in &records {
                if let Err(error) = chain.check(record) {
                    return audit_reply(Err(error));
                }
            }
        }
    }

    async fn all_records(&self, mut from_index: u64) -> OperatorReply {
        let mut records = Vec::new();
        loop {
            match self.page(from_index).await {
                Ok(page) if page.is_empty() => return OperatorReply::Audit { records },
                Ok(page) => records.extend(page),
                Err(reply) => return reply,
            }
            let last = records
                .last()
                .map_or(from_index, |record: &AuditRecord| record.index);
            if last < from_index {
                let previous = from_index.saturating_sub(1);
                let index = last;
                return audit_reply(Err(AuditError::OutOfOrder { index, previous }));
            }
            from_index = last + 1;
        }
    }

    /// Returns one page of records, or the reply that came in its place.
    async fn page(&self, from_index: u64) -> Result<Vec<AuditRecord>, OperatorReply> {
        let command = Command::AuditRecords {
            from_index,
            limit: Some(AUDIT_PAGE_RECORDS),
        };
        let request = OperatorRequest::query(command.to_string());
        match self.client.send(&request).await {
            OperatorReply::Audit { records } => Ok(records),
            OperatorReply::Table(table) => {
                let message = format!("a table {:?} came in place of records", table.title);
                Err(OperatorReply::Error(ErrorReply::new(message)))
            }
            other => Err(other),
        }
    }
}

/// Returns what a check of the audit trail is answered with.
pub(crate) fn audit_reply(chain: Result<AuditChain, AuditError>) -> OperatorReply {
    match chain {
        Ok(chain) => OperatorReply::Table(chain.table()),
        Err(error) => OperatorReply::Error(ErrorReply::new(error.to_string())),
    }
}
