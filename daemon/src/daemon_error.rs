use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::{Display, Error, From};
use laburnumdeal_control::ControlError;
use laburnumdeal_model::SettingsError;

/// Reports why an instance does not start.
#[derive(Debug, Display, Error, From)]
pub enum DaemonError {
    /// The settings are invalid.
    #[display("{_0}")]
    Settings(SettingsError),
    /// The change log cannot be opened.
    #[display("cannot open the change log: {_0}")]
    Control(ControlError),
    /// An address cannot be listened on.
    #[display("cannot listen on address {address}: {source}")]
    #[from(skip)]
    Bind {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The settings of a control instance name no data folder.
    #[display("data_folder is missing, but a control instance needs one")]
    NoDataFolder,
    /// The data folder cannot be used.
    #[display("cannot use data folder {}: {source}", folder.display())]
    #[from(skip)]
    DataFolder {
        /// Folder from the settings.
        folder: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// The settings of an entry instance name no address for callers.
    #[display("caller_address is missing, but an entry instance needs one")]
    NoCallerAddress,
    /// The stored configuration cannot be read.
    #[display("cannot read stored configuration {}: {reason}", path.display())]
    #[from(skip)]
    StoredConfiguration {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        reason: String,
    },
}
