use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Display, Error, From};
use laburnumdeal_control::ControlError;
use laburnumdeal_model::SettingsError;

/// Reports why an instance does not start.
#[derive(Debug, Display, Error, From)]
pub enum DaemonError {
    /// The settings are wrong.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The change log does not open.
    #[display("change log: {_0}")]
    Control(ControlError),
    /// An address is not free.
    #[display("address {address} cannot be listened on: {source}")]
    #[from(skip)]
    Bind {
        /// Address of the settings.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// A control instance has no data folder.
    #[display("data_folder is missing, but a control instance needs one")]
    NoDataFolder,
    /// An entry instance has no address for callers.
    #[display("caller_address is missing, but an entry instance needs one")]
    NoCallerAddress,
    /// The stored configuration cannot be read.
    #[display("stored configuration {}: {reason}", path.display())]
    #[from(skip)]
    Stored {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        reason: String,
    },
}
