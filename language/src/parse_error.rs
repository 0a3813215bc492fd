use std::fmt;

use serde::{Deserialize, Serialize};

/// Reports the word of a command that the grammar does not accept. Its text draws the line with
/// a caret under the word.
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
    /// Position of the word in the command, in bytes.
    pub offset: usize,
    /// Word that is not accepted; empty at the end of the command.
    pub word: String,
    /// What is wrong with the word, when more is known than that it is not expected.
    pub problem: Option<String>,
    /// What could stand in its place.
    pub expected: Vec<String>,
}

impl ParseError {
    /// Returns an error about the word at `offset`; a position inside a word points at its start.
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

    /// Returns the same error with a description of what is wrong.
    pub fn with_problem(self, problem: String) -> Self {
        Self {
            problem: Some(problem),
            ..self
        }
    }

    /// Returns the error without the drawn line.
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

    /// Returns the command and a line below it with carets under the word.
    pub fn snippet(&self) -> String {
        let line: String = self.text.chars().map(printable).collect();
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

fn printable(c: char) -> char {
    if c.is_control() { ' ' } else { c }
}

/// Returns start and text of the word around a position.
fn word_at(text: &str, offset: usize) -> (usize, &str) {
    let mut offset = offset.min(text.len());
    while !text.is_char_boundary(offset) {
        offset -= 1;
    }
    let start = text[..offset]
        .char_indices()
        .rev()
        .find(|(_, c)| ends_word(*c))
        .map_or(0, |(at, c)| at + c.len_utf8());
    let length = text[offset..].find(ends_word);
    let end = length.map_or(text.len(), |length| offset + length);
    if end > offset {
        return (start, &text[start..end]);
    }
    let sign = text[offset..].chars().next().filter(|c| !c.is_whitespace());
    let end = offset + sign.map_or(0, char::len_utf8);
    (offset, &text[offset..end])
}

fn ends_word(c: char) -> bool {
    c.is_whitespace() || matches!(c, ',' | '=')
}
