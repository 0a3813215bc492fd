use std::fmt;

use crate::quote::Quoted;

/// Condition on one column of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Filter {
    /// Name of the column that is compared.
    pub column: String,
    /// Comparison that must hold.
    pub relation: Relation,
    /// Value that the column's cells are compared with.
    pub value: String,
}

/// Comparison of a cell with a value.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Relation {
    /// The cell is equal to the value.
    #[display("=")]
    Equal,
    /// The cell differs from the value.
    #[display("!=")]
    NotEqual,
}

impl Filter {
    /// Returns whether a cell meets the condition.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_language::{Filter, Relation};
    ///
    /// let filter = Filter { column: "zone".into(), relation: Relation::NotEqual, value: "nasr".into() };
    /// assert!(filter.accepts("maadi"));
    /// ```
    pub fn accepts(&self, cell: &str) -> bool {
        match self.relation {
            Relation::Equal => cell == self.value,
            Relation::NotEqual => cell != self.value,
        }
    }
}

impl fmt::Display for Filter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = Quoted(&self.value);
        write!(f, "{} {} {value}", self.column, self.relation)
    }
}
