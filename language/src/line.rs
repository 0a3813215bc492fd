use derive_more::Display;

use crate::{Command, CommandOptions};

/// A command and the options written after it.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{command}{options}")]
pub struct Line {
    /// The command.
    pub command: Command,
    /// The options after it; queries have none.
    pub options: CommandOptions,
}
