use std::fmt;

use serde::{Deserialize, Serialize};

/// Error that points at the word of a command that is not accepted. Its text contains the command
/// with carets under the word.
///
/// # Examples
///
/// ```
/// use laburnumdeal_language::parse;
///
/// let error = parse("drain zoo nasr", 0).unwrap_err();
/// assert_eq!((error.offset, error.word.as_str()), (6, "zoo"));
/// assert!(error.to_string().ends_with("\n  drain zoo nasr\n        ^^^"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ParseError {
    /// Command as given.
    pub text: String,
    /// Byte offset of the word in the command.
    pub offset: usize,
    /// Word that is not accepted; empty at the end of the command.
    pub word: String,
    /// What is wrong with the word; `None` if the grammar merely does not expect it.
    pub problem: Option<String>,
    /// What is accepted in its place.
    pub expected: Vec<String>,
}

impl ParseError {
    /// Returns an error about the word at the byte `offset`; an offset inside a word is moved to its
    /// start.
    pub fn at(text: &str, offset: usize, expected: Vec<String>) -> Self {
        let (offset, word) = word_at(text, offset);
        Self {
            text: text.to_owned(),
            offset,
            word: word.to_owned(),
            problem: None,
            expected,
        }
    }

    /// Adds a description of what is wrong with the word.
    pub fn with_problem(self, problem: String) -> Self {
        Self {
            problem: Some(problem),
            ..self
        }
    }

    /// Returns the description of the error without the command.
    pub fn message(&self) -> String {
        let problem = match &self.problem {
            Some(problem) => problem.clone(),
            None if self.word.is_empty() => "the command ends early".to_owned(),
            None => format!("'{}' is not expected here", self.word),
        };
        match self.expected.as_slice() {
            [] => problem,
            [only] => format!("{problem}; expected {only}"),
            [first @ .., last] => format!("{problem}; expected {} or {last}", first.join(", ")),
        }
    }

    /// Returns the command and, on a second line, carets under the word.
    pub fn snippet(&self) -> String {
        let line: String = self.text.chars().map(without_control).collect();
        let before = self.text[..self.offset].chars().count();
        let carets = self.word.chars().count().max(1);
        format!("  {line}\n  {}{}", " ".repeat(before), "^".repeat(carets))
    }
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}\n{}", self.message(), self.snippet())
    }
}

impl std::error::Error for ParseError {}

fn without_control(c: char) -> char {
    if c.is_control() { ' ' } else { c }
}

/// Returns the start and text of the word around a byte offset. A comma or equals sign is a word
/// of its own; whitespace and the end of the text give an empty word.
fn word_at(text: &str, offset: usize) -> (usize, &str) {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let start = text[..offset]
        .char_indices()
        .rev()
        .find(|(_, c)| is_word_boundary(*c))
        .map_or(0, |(at, c)| at + c.len_utf8());
    let length = text[offset..].find(is_word_boundary);
    let end = length.map_or(text.len(), |length| offset + length);
    if end > offset {
        return (start, &text[start..end]);
    }
    let delimiter = text[offset..].chars().next().filter(|c| !c.is_whitespace());
    let end = offset + delimiter.map_or(0, char::len_utf8);
    (offset, &text[offset..end])
}

fn is_word_boundary(c: char) -> bool {
    c.is_whitespace() || matches!(c, ',' | '=')
}
