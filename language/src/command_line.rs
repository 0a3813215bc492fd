use derive_more::Display;

use crate::{Command, CommandOptions};

/// A command with its options. Its text parses back to the same value.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{command}{options}")]
pub struct CommandLine {
    /// The command.
    pub command: Command,
    /// Options that follow a change; a query has none.
    pub options: CommandOptions,
}
