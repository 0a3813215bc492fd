use laburnumdeal_language::{Command, ErrorReply, OperatorReply, OperatorRequest, ParseError};
use laburnumdeal_model::AuditRecord;

use crate::{AuditChain, AuditError, Client, CommandOutcome, Options, PreparedCommand};

/// Number of audit records requested per page.
const AUDIT_PAGE_RECORDS: u64 = 500;

/// Runs commands with the options of one command line.
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
    /// Returns a session that sends commands through `client`.
    pub fn new(client: Client, options: Options) -> Self {
        Self { client, options }
    }

    /// Parses and runs a command.
    pub async fn run(&self, text: &str) -> CommandOutcome {
        match self.prepare(text) {
            Ok(prepared) => self.send(prepared).await,
            Err(error) => error.into(),
        }
    }

    /// Parses a command and adds the options of the session.
    ///
    /// # Errors
    ///
    /// Returns an error that points at the word that the grammar does not accept.
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

    /// Sends a prepared command. `audit verify`, and `audit records` without a limit, read all
    /// records in pages.
    pub async fn send(&self, prepared: PreparedCommand) -> CommandOutcome {
        match prepared.command {
            Command::AuditVerify => self.verify_trail().await.into(),
            Command::AuditRecords {
                from_index,
                limit: None,
            } => self.fetch_all_records(from_index).await.into(),
            _ => CommandOutcome {
                reply: self.client.send_prepared(&prepared).await,
                request: Some(prepared.request),
            },
        }
    }

    async fn verify_trail(&self) -> OperatorReply {
        let mut chain = AuditChain::default();
        loop {
            let from_index = chain.last_index.map_or(0, |index| index + 1);
            let records = match self.fetch_page(from_index).await {
                Ok(records) => records,
                Err(reply) => return reply,
            };
            if records.is_empty() {
                return verification_reply(chain.finish());
            }
            for record in &records {
                if let Err(error) = chain.check(record) {
                    return verification_reply(Err(error));
                }
            }
        }
    }

    async fn fetch_all_records(&self, mut from_index: u64) -> OperatorReply {
        let mut records = Vec::new();
        loop {
            match self.fetch_page(from_index).await {
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
                return verification_reply(Err(AuditError::OutOfOrder { index, previous }));
            }
            from_index = last + 1;
        }
    }

    /// Returns one page of audit records, or any other reply as the error.
    async fn fetch_page(&self, from_index: u64) -> Result<Vec<AuditRecord>, OperatorReply> {
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

/// Returns the reply that reports the verification of an audit trail.
pub(crate) fn verification_reply(chain: Result<AuditChain, AuditError>) -> OperatorReply {
    match chain {
        Ok(chain) => OperatorReply::Table(chain.table()),
        Err(error) => OperatorReply::Error(ErrorReply::new(error.to_string())),
    }
}
