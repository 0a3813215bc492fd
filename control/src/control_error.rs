use derive_more::{Display, Error, From};

use crate::StorageError;

/// Reports why a replica could not start.
#[derive(Debug, Display, Error, From)]
pub enum ControlError {
    /// The settings do not fit each other.
    #[display("replica settings: {_0}")]
    #[error(ignore)]
    #[from(ignore)]
    Settings(&'static str),
    /// The data folder could not be used.
    #[display("{_0}")]
    Storage(StorageError),
}
