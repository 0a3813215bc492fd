use laburnumdeal_language::COMMAND_HELP;

use crate::options::parser;
use crate::{Exit, TOKEN_VARIABLE};

/// Returns the help text: options, commands and exit statuses.
///
/// # Examples
///
/// ```
/// use laburnumdeal_cli::usage;
///
/// assert!(usage().contains("--dry-run"));
/// ```
pub fn usage() -> String {
    let brief = format!(
        "Usage: laburnumctl [OPTIONS] [COMMAND]\n\n\
         Without a command, commands are read from the input, one a line.\n\
         The token is read from --token-file or from {TOKEN_VARIABLE}."
    );
    let options = parser().usage(&brief);
    let commands = commands();
    let statuses: Vec<String> = Exit::ALL
        .iter()
        .map(|(exit, meaning)| format!("    {}  {meaning}", exit.status()))
        .collect();
    format!(
        "{options}\nCommands:\n{commands}\n\nExit statuses:\n{}",
        statuses.join("\n")
    )
}

/// Returns the form of every command with its meaning.
pub(crate) fn commands() -> String {
    let lines: Vec<String> = COMMAND_HELP
        .iter()
        .map(|help| format!("    {}\n        {}", help.usage, help.summary))
        .collect();
    lines.join("\n")
}

/// Returns the name and version of the client.
///
/// # Examples
///
/// ```
/// use laburnumdeal_cli::version;
///
/// assert!(version().starts_with("laburnumctl "));
/// ```
pub fn version() -> String {
    format!("laburnumctl {}", env!("CARGO_PKG_VERSION"))
}
