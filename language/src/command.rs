use std::fmt;

use laburnumdeal_model::{Change, Version};

use crate::{ChangeText, ExplainSubject, Show};

/// Command of an operator. Its text parses back to the same command.
///
/// # Examples
///
/// ```
/// use laburnumdeal_language::{Command, parse};
///
/// let command = parse("revert  to 7", 0)?;
/// assert_eq!(command.to_string(), "revert to 7");
/// assert!(matches!(command, Command::Change(_)));
/// # Ok::<(), laburnumdeal_language::ParseError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Shows a table of the system's state.
    Show(Show),
    /// Explains how a request would be routed, or was routed.
    Explain(ExplainSubject),
    /// Changes the configuration.
    Change(Change),
    /// Lists changes of the configuration, the latest last.
    History {
        /// Maximum number of changes listed, the latest ones; `None` lists all.
        last: Option<u64>,
        /// Version after which accepted changes are listed; `None` lists refused changes too.
        since: Option<Version>,
    },
    /// Verifies the hash chain of the whole audit trail.
    AuditVerify,
    /// Returns one page of audit records.
    AuditRecords {
        /// Lowest log index returned.
        from_index: u64,
        /// Maximum number of records returned; `None` uses the instance's default.
        limit: Option<u64>,
    },
}

impl Command {
    /// Returns whether the command changes the configuration.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_language::Command;
    ///
    /// assert!(!Command::AuditVerify.is_change());
    /// ```
    pub fn is_change(&self) -> bool {
        matches!(self, Self::Change(_))
    }
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Show(show) => write!(f, "{show}"),
            Self::Explain(subject) => write!(f, "explain {subject}"),
            Self::Change(change) => write!(f, "{}", ChangeText(change)),
            Self::History { last, since } => {
                f.write_str("history")?;
                write_clause(f, "last", *last)?;
                write_clause(f, "since", since.map(|version| version.0))
            }
            Self::AuditVerify => f.write_str("audit verify"),
            Self::AuditRecords { from_index, limit } => {
                write!(f, "audit records from {from_index}")?;
                write_clause(f, "limit", *limit)
            }
        }
    }
}

fn write_clause(f: &mut fmt::Formatter<'_>, word: &str, value: Option<u64>) -> fmt::Result {
    match value {
        Some(value) => write!(f, " {word} {value}"),
        None => Ok(()),
    }
}
