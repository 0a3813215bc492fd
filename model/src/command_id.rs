use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Maximum length of a command id in bytes.
pub const MAX_COMMAND_ID_BYTES: usize = 64;

/// Identifier of an operator's command. A command that is sent again under the same id gets the
/// answer to the first one.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::CommandId;
///
/// let id: CommandId = "drain-nasr-1".parse()?;
/// assert_eq!(id.to_string(), "drain-nasr-1");
/// assert!("two words".parse::<CommandId>().is_err());
/// # Ok::<(), laburnumdeal_model::CommandIdError>(())
/// ```
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct CommandId(String);

/// Reason why a text is not a valid command id.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum CommandIdError {
    /// The text is empty.
    #[display(
        "command id is empty; expected 1 to {MAX_COMMAND_ID_BYTES} letters, digits, '-', '_' or '.'"
    )]
    Empty,
    /// The text is longer than [`MAX_COMMAND_ID_BYTES`].
    #[display("command id has {bytes} bytes; expected at most {MAX_COMMAND_ID_BYTES}")]
    TooLong {
        /// Length of the text in bytes.
        bytes: usize,
    },
    /// The text has a character that is not allowed.
    #[display("command id has the character {found:?}; expected letters, digits, '-', '_' or '.'")]
    Character {
        /// First character that is not allowed.
        found: char,
    },
}

impl CommandId {
    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for CommandId {
    type Err = CommandIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(CommandIdError::Empty);
        }
        if text.len() > MAX_COMMAND_ID_BYTES {
            return Err(CommandIdError::TooLong { bytes: text.len() });
        }
        match text.chars().find(|c| !is_allowed(*c)) {
            Some(found) => Err(CommandIdError::Character { found }),
            None => Ok(Self(text.to_owned())),
        }
    }
}

impl TryFrom<String> for CommandId {
    type Error = CommandIdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<CommandId> for String {
    fn from(id: CommandId) -> Self {
        id.0
    }
}

fn is_allowed(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}
