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
    /// Byte offset of the word in the command.
    #[serde(default)]
    pub offset: Option<usize>,
    /// Word that is wrong.
    #[serde(default)]
    pub word: Option<String>,
    /// What is accepted in its place.
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

    /// Returns an error that points at the last occurrence of `word` in the command, or at nothing
    /// when the command does not contain it as a whole word.
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

/// Returns the byte offset of the last occurrence of `word` as a whole word.
fn find_word(command: &str, word: &str) -> Option<usize> {
    let mut occurrences = command.rmatch_indices(word);
    let is_whole_word = |at: usize| {
        let before = command[..at].chars().next_back();
        let after = command[at + word.len()..].chars().next();
        before.is_none_or(is_word_boundary) && after.is_none_or(is_word_boundary)
    };
    occurrences
        .find(|(at, _)| !word.is_empty() && is_whole_word(*at))
        .map(|(at, _)| at)
}

fn is_word_boundary(c: char) -> bool {
    c.is_whitespace() || matches!(c, ',' | '=' | '!' | '"')
}
