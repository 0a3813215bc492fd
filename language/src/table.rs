use laburnumdeal_model::Version;
use serde::{Deserialize, Serialize};

use crate::{ErrorReply, Filter};

/// Result of a query: rows of cells, and the version of the configuration that they show.
///
/// # Examples
///
/// ```
/// use laburnumdeal_language::Table;
///
/// let table = Table::new("zones", &["zone", "region"], vec![vec!["nasr".into(), "cairo".into()]]);
/// assert_eq!(table.columns.len(), 2);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Name of the table.
    pub title: String,
    /// Names of the columns.
    pub columns: Vec<String>,
    /// Rows with one cell for each column.
    pub rows: Vec<Vec<String>>,
    /// Version of the configuration that the table shows.
    pub version: Version,
    /// Whether a majority of the control replicas confirmed that the version is the latest.
    pub confirmed: bool,
    /// Remark that the client prints below the table.
    #[serde(default)]
    pub note: Option<String>,
}

impl Table {
    /// Returns a table at version 0 that is not confirmed.
    pub fn new(title: &str, columns: &[&str], rows: Vec<Vec<String>>) -> Self {
        Self {
            title: title.to_owned(),
            columns: columns.iter().map(|&column| column.to_owned()).collect(),
            rows,
            ..Self::default()
        }
    }

    /// Keeps the rows that meet every filter; `command` is the text that errors refer to.
    ///
    /// # Errors
    ///
    /// Returns an error that points at the first filter's column that the table does not have.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_language::{Command, Table, parse};
    ///
    /// let text = "show zones where zone = nasr";
    /// let table = Table::new("zones", &["zone"], vec![vec!["nasr".into()], vec!["borg".into()]]);
    /// let Command::Show(show) = parse(text, 0)? else { panic!("no query") };
    /// assert_eq!(table.filtered(&show.filters, text).unwrap().rows, [["nasr"]]);
    /// # Ok::<(), laburnumdeal_language::ParseError>(())
    /// ```
    pub fn filtered(mut self, filters: &[Filter], command: &str) -> Result<Self, ErrorReply> {
        for filter in filters {
            let found = self.columns.iter().position(|c| *c == filter.column);
            let Some(position) = found else {
                return Err(self.missing_column(&filter.column, command));
            };
            self.rows
                .retain(|row| row.get(position).is_some_and(|cell| filter.accepts(cell)));
        }
        Ok(self)
    }

    fn missing_column(&self, column: &str, command: &str) -> ErrorReply {
        let message = format!(
            "column {column:?} does not exist in table {:?}; its columns are {}",
            self.title,
            self.columns.join(", ")
        );
        ErrorReply {
            expected: self.columns.clone(),
            ..ErrorReply::about(message, command, column)
        }
    }
}
