use derive_more::{Display, Error, From};

use crate::StorageError;

/// Error of a replica that cannot start.
#[derive(Debug, Display, Error, From)]
pub enum ControlError {
    /// The settings are inconsistent.
    #[display("replica settings: {_0}")]
    #[error(ignore)]
    #[from(ignore)]
    Settings(&'static str),
    /// The data folder cannot be used.
    #[display("{_0}")]
    Storage(StorageError),
}
