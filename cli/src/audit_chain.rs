use laburnumdeal_language::Table;
use laburnumdeal_model::{AuditRecord, Digest, Verdict, Version};

use crate::AuditError;

/// Checks audit records one after the other, from the first of the trail.
///
/// # Examples
///
/// ```
/// use laburnumdeal_cli::AuditChain;
///
/// let chain = AuditChain::default();
/// assert_eq!(chain.finish()?.records, 0);
/// # Ok::<(), laburnumdeal_cli::AuditError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AuditChain {
    /// Number of records that were checked.
    pub records: u64,
    /// Log index of the last one.
    pub last_index: Option<u64>,
    /// Hash of the last one.
    pub last_hash: Digest,
    /// Log index of the first one when it does not begin the trail.
    pub unverified_first_index: Option<u64>,
    /// Version that the last accepted one made.
    pub version: Version,
}

impl AuditChain {
    /// Checks the record that follows those checked before. A first record that does not begin the
    /// trail is taken as it is, until [`AuditChain::finish`].
    ///
    /// # Errors
    ///
    /// Returns how the record fails to follow them.
    pub fn check(&mut self, record: &AuditRecord) -> Result<(), AuditError> {
        let index = record.index;
        if let Some(previous) = self.last_index.filter(|previous| *previous >= index) {
            return Err(AuditError::OutOfOrder { index, previous });
        }
        let expected = record.expected_chain(self.last_hash);
        match (expected == record.chain, self.last_index) {
            (true, _) => {}
            (false, None) => self.unverified_first_index = Some(index),
            (false, Some(_)) => {
                return Err(AuditError::HashMismatch {
                    index,
                    found: record.chain,
                    expected,
                });
            }
        }
        self.records += 1;
        self.last_index = Some(index);
        self.last_hash = record.chain;
        if let Verdict::Accepted { version } = record.verdict {
            self.version = version;
        }
        Ok(())
    }

    /// Returns the chain when it begins with the trail's first record.
    ///
    /// # Errors
    ///
    /// Returns the first record when those before it are missing.
    pub fn finish(self) -> Result<Self, AuditError> {
        match (self.unverified_first_index, self.last_index) {
            (Some(first), Some(last)) => Err(AuditError::Incomplete { first, last }),
            _ => Ok(self),
        }
    }

    /// Returns what was checked as a table.
    pub fn table(&self) -> Table {
        let last = self.last_index.map_or("none".to_owned(), |i| i.to_string());
        let row = vec![self.records.to_string(), last, self.last_hash.to_string()];
        Table {
            version: self.version,
            note: Some("the chain is whole".to_owned()),
            ..Table::new("audit", &["records", "last index", "last hash"], vec![row])
        }
    }
}
