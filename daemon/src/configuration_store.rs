use std::fs::{self, File};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use laburnumdeal_model::{Configuration, Digest};
use slog::warn;

use crate::daemon_error::DaemonError;
use crate::state::State;

/// Name of the stored configuration in the data folder.
const FILE_NAME: &str = "configuration.msgpack";

/// Stores the configuration in force on disk, on an instance that has a data folder and no replica
/// of the change log, so that it can serve after a restart even without a connection to its peers.
#[derive(Clone, Debug)]
pub struct ConfigurationStore {
    folder: PathBuf,
}

impl ConfigurationStore {
    /// Returns the store of an instance if it has a data folder and no replica.
    pub fn of(state: &State) -> Option<Self> {
        let is_replica = state.topology.instance(state.own_id).control;
        let folder = state.settings.data_folder.clone().filter(|_| !is_replica)?;
        Some(Self { folder })
    }

    /// Returns the configuration that was last saved, if any.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError::StoredConfiguration`] when the file cannot be read or is corrupt.
    pub fn load(&self) -> Result<Option<Configuration>, DaemonError> {
        let path = self.folder.join(FILE_NAME);
        let bytes = match fs::read(&path) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(unreadable(&path, &error.to_string())),
        };
        let Some((hash, body)) = bytes.split_first_chunk::<32>() else {
            return Err(unreadable(&path, "the file is shorter than its checksum"));
        };
        if Digest::of(&[body]).0 != *hash {
            return Err(unreadable(&path, "the checksum does not match"));
        }
        rmp_serde::from_slice(body)
            .map(Some)
            .map_err(|error| unreadable(&path, &error.to_string()))
    }

    /// Saves every version that comes into force, for as long as the process runs.
    pub async fn run(self, state: Arc<State>) {
        let mut versions = state.configuration.watch();
        loop {
            let active = versions.borrow_and_update().clone();
            if let Some(active) = active {
                let store = self.clone();
                let configuration = active.configuration.clone();
                let saving = tokio::task::spawn_blocking(move || store.save(&configuration));
                if let Ok(Err(error)) = saving.await {
                    warn!(state.log, "could not save the configuration";
                        "reason" => error.to_string());
                }
            }
            if versions.changed().await.is_err() {
                return;
            }
        }
    }

    fn save(&self, configuration: &Configuration) -> std::io::Result<()> {
        fs::create_dir_all(&self.folder)?;
        let body = rmp_serde::to_vec_named(configuration).map_err(std::io::Error::other)?;
        let temporary = self.folder.join(format!("{FILE_NAME}.new"));
        let mut file = File::create(&temporary)?;
        file.write_all(&Digest::of(&[&body]).0)?;
        file.write_all(&body)?;
        file.sync_all()?;
        fs::rename(&temporary, self.folder.join(FILE_NAME))?;
        File::open(&self.folder)?.sync_all()
    }
}

fn unreadable(path: &Path, reason: &str) -> DaemonError {
    DaemonError::StoredConfiguration {
        path: path.to_owned(),
        reason: reason.to_owned(),
    }
}
