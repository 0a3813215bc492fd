use std::fmt;

use crate::{Filter, ShowSubject};

/// Query of one table, restricted to the rows that meet all filters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Show {
    /// Table that is shown.
    pub subject: ShowSubject,
    /// Conditions that every shown row meets.
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
