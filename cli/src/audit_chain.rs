use laburnumdeal_language::Table;
use laburnumdeal_model::{AuditRecord, Digest, Verdict, Version};

use crate::AuditError;

/// Verifies the hash chain of an audit trail, record by record in log order.
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
    /// Number of records checked.
    pub records: u64,
    /// Log index of the last record.
    pub last_index: Option<u64>,
    /// Hash of the last record.
    pub last_hash: Digest,
    /// Log index of the first record if it does not begin the trail, so that its hash could not be
    /// verified.
    pub unverified_first_index: Option<u64>,
    /// Configuration version of the last accepted change.
    pub version: Version,
}

impl AuditChain {
    /// Verifies that a record follows the records checked so far. A first record that does not
    /// begin the trail is accepted here and reported by [`AuditChain::finish`].
    ///
    /// # Errors
    ///
    /// Returns an error if the log index does not increase or the hash does not match.
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

    /// Returns the chain if it begins with the first record of the trail.
    ///
    /// # Errors
    ///
    /// Returns an error if the first record was altered or records before it are missing.
    pub fn finish(self) -> Result<Self, AuditError> {
        match (self.unverified_first_index, self.last_index) {
            (Some(first), Some(last)) => Err(AuditError::Incomplete { first, last }),
            _ => Ok(self),
        }
    }

    /// Returns the result of the verification as a table.
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
