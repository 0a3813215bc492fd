use std::time::{SystemTime, UNIX_EPOCH};

use laburnumdeal_language::{Command, CommandLine, OperatorRequest, ParseError};
use laburnumdeal_model::CommandId;

/// Command that is ready to be sent.
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
    /// The command.
    pub command: Command,
    /// Request that stands for it. Times are absolute in it and a change has an id, so that
    /// sending it again is the same command.
    pub request: OperatorRequest,
}

impl PreparedCommand {
    /// Returns what a request stands for; a change without an id gets a new one.
    ///
    /// # Errors
    ///
    /// Returns the word that the grammar does not accept.
    pub fn from_request(given: &OperatorRequest) -> Result<Self, ParseError> {
        let CommandLine { command, options } = given.parse(now_ms())?;
        let request = match command.is_change() {
            false => OperatorRequest::query(command.to_string()),
            true => OperatorRequest {
                command: command.to_string(),
                command_id: given.command_id.clone().or_else(new_id),
                base: options.base,
                dry_run: options.dry_run,
                force: options.force,
                wait_ms: given.wait_ms,
            },
        };
        Ok(Self { command, request })
    }

    /// Returns the id of a command that may change the configuration.
    pub(crate) fn changing_id(&self) -> Option<&CommandId> {
        let id = self.request.command_id.as_ref();
        id.filter(|_| !self.request.dry_run)
    }
}

fn new_id() -> Option<CommandId> {
    format!("{:032x}", rand::random::<u128>()).parse().ok()
}

fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since| since.as_millis() as u64)
}
