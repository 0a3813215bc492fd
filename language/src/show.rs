use std::fmt;

use crate::{Filter, ShowSubject};

/// A table and the rows of it that are printed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Show {
    /// Kind of table.
    pub subject: ShowSubject,
    /// Conditions that every printed row meets.
    pub filters: Vec<Filter>,
}

impl fmt::Display for Show {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "show {}", self.subject)?;
        for (position, filter) in self.filters.iter().enumerate() {
            let word = if position == 0 { "where" } else { "and" };
            write!(f, " {word} {filter}")?;
        }
        Ok(())
    }
}
