use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

use laburnumdeal_model::AuditRecord;

use crate::{AuditChain, AuditError};

/// Verifies the hash chain of an audit file that holds one JSON record per line, and returns the
/// state after the last record.
///
/// # Errors
///
/// Returns an error if the file cannot be read, for the first line that is not a record or breaks
/// the hash chain, and if the file does not begin with the first record of the trail.
///
/// # Examples
///
/// ```
/// use std::path::Path;
///
/// use laburnumdeal_cli::verify_audit_file;
///
/// let error = verify_audit_file(Path::new("no/such/file")).unwrap_err();
/// assert!(error.to_string().starts_with("audit file no/such/file: "));
/// ```
pub fn verify_audit_file(file: &Path) -> Result<AuditChain, AuditError> {
    let unreadable = |source| AuditError::Read {
        file: file.to_owned(),
        source,
    };
    let mut chain = AuditChain::default();
    let lines = BufReader::new(File::open(file).map_err(unreadable)?).lines();
    for (position, text) in lines.enumerate() {
        let text = text.map_err(unreadable)?;
        let record: AuditRecord =
            serde_json::from_str(&text).map_err(|source| AuditError::InvalidRecord {
                file: file.to_owned(),
                line: position + 1,
                source,
            })?;
        chain.check(&record)?;
    }
    chain.finish()
}
