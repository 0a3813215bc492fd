use serde::{Deserialize, Serialize};

use crate::ParseError;

/// Reason why a command is not valid or not allowed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReply {
    /// What is wrong.
    pub message: String,
    /// Command with carets under the word that is wrong.
    #[serde(default)]
    pub caret: Option<String>,
    /// Position of the word in the command, in bytes.
    #[serde(default)]
    pub offset: Option<usize>,
    /// Word that is wrong.
    #[serde(default)]
    pub word: Option<String>,
    /// What could stand in its place.
    #[serde(default)]
    pub expected: Vec<String>,
}

impl ErrorReply {
    /// Returns an error about the command as a whole.
    pub fn new(message: impl Into<String>) -> Self {
        Self {
            message: message.into(),
            ..Self::default()
        }
    }

    /// Returns an error that points at a word of the command.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_language::ErrorReply;
    ///
    /// let command = "undrain zone nas";
    /// let error = ErrorReply::about("zone \"nas\" does not exist", command, "nas");
    /// assert_eq!(error.offset, Some(13));
    /// ```
    pub fn about(message: impl Into<String>, command: &str, word: &str) -> Self {
        let Some(offset) = find_word(command, word) else {
            return Self::new(message);
        };
        let error = ParseError::at(command, offset, Vec::new());
        Self::from(error.with_problem(message.into()))
    }
}

impl From<ParseError> for ErrorReply {
    fn from(error: ParseError) -> Self {
        Self {
            message: error.message(),
            caret: Some(error.snippet()),
            offset: Some(error.offset),
            word: Some(error.word),
            expected: error.expected,
        }
    }
}

/// Returns the position of the last place where `word` stands alone.
fn find_word(command: &str, word: &str) -> Option<usize> {
    let mut places = command.rmatch_indices(word);
    let alone = |at: usize| {
        let before = command[..at].chars().next_back();
        let after = command[at + word.len()..].chars().next();
        before.is_none_or(ends_word) && after.is_none_or(ends_word)
    };
    places
        .find(|(at, _)| !word.is_empty() && alone(*at))
        .map(|(at, _)| at)
}

fn ends_word(c: char) -> bool {
    c.is_whitespace() || matches!(c, ',' | '=' | '!' | '"')
}
