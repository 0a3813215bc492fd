use laburnumdeal_language::COMMAND_HELP;

use crate::options::parser;
use crate::{Exit, TOKEN_VARIABLE};

/// Returns the help text with options, commands and exit statuses.
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
    let command_help = command_help();
    let statuses: Vec<String> = Exit::ALL
        .iter()
        .map(|(exit, meaning)| format!("    {}  {meaning}", exit.status()))
        .collect();
    format!(
        "{options}\nCommands:\n{command_help}\n\nExit statuses:\n{}",
        statuses.join("\n")
    )
}

/// Returns the syntax and summary of every command.
pub(crate) fn command_help() -> String {
    let lines: Vec<String> = COMMAND_HELP
        .iter()
        .map(|help| format!("    {}\n        {}", help.usage, help.summary))
        .collect();
    lines.join("\n")
}

/// Returns the name and version of the program.
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
