use std::time::{SystemTime, UNIX_EPOCH};

use laburnumdeal_language::{Command, CommandLine, OperatorRequest, ParseError};
use laburnumdeal_model::CommandId;

/// Parsed command and the request that sends it.
///
/// # Examples
///
/// ```
/// use laburnumdeal_cli::PreparedCommand;
/// use laburnumdeal_language::OperatorRequest;
///
/// let prepared = PreparedCommand::from_request(&OperatorRequest::query("revert  to 7"))?;
/// assert_eq!(prepared.request.command, "revert to 7");
/// assert!(prepared.request.command_id.is_some());
/// # Ok::<(), laburnumdeal_language::ParseError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreparedCommand {
    /// Parsed command.
    pub command: Command,
    /// Request in canonical form. Times in it are absolute and a change has an id, so a resent
    /// request is the same command.
    pub request: OperatorRequest,
}

impl PreparedCommand {
    /// Parses the command of a request; a change without an id gets a random one.
    ///
    /// # Errors
    ///
    /// Returns an error that points at the word that the grammar does not accept.
    pub fn from_request(original: &OperatorRequest) -> Result<Self, ParseError> {
        let CommandLine { command, options } = original.parse(now_ms())?;
        let request = match command.is_change() {
            false => OperatorRequest::query(command.to_string()),
            true => OperatorRequest {
                command: command.to_string(),
                command_id: original.command_id.clone().or_else(random_command_id),
                base: options.base,
                dry_run: options.dry_run,
                force: options.force,
                wait_ms: original.wait_ms,
            },
        };
        Ok(Self { command, request })
    }

    /// Returns the command id if the command can change the configuration: not for queries and dry
    /// runs.
    pub(crate) fn mutating_command_id(&self) -> Option<&CommandId> {
        let id = self.request.command_id.as_ref();
        id.filter(|_| !self.request.dry_run)
    }
}

fn random_command_id() -> Option<CommandId> {
    format!("{:032x}", rand::random::<u128>()).parse().ok()
}

fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since| since.as_millis() as u64)
}
