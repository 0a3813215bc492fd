use std::io;
use std::path::Path;
use std::time::Duration;

use laburnumdeal_control::{Disk, FileDisk};
use laburnumdeal_policy::steer::CrashReport;
use slog::{info, warn};
use tokio::time::{Instant, sleep};

use crate::roles::control_node::ControlState;

/// Name of the file with the crash reports, next to the files of the change log.
const NAME: &str = "crashes";

/// Name of the file while it is written. The change log removes files with this ending at a start.
const TEMPORARY_NAME: &str = "crashes.tmp";

/// Minimum interval between two writes, since the change log needs the same disk.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a write that failed, for example because the disk is full.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// File in which a control instance keeps crash reports, so that they outlive a stop of all
/// instances. The time for which the instance was down does not count towards their age.
#[derive(Clone, Debug)]
pub(super) struct CrashFile {
    disk: FileDisk,
}

impl CrashFile {
    /// Opens the file in a folder.
    ///
    /// # Errors
    ///
    /// Returns the error of creating the folder.
    pub fn open(folder: &Path) -> io::Result<Self> {
        let disk = FileDisk::open(folder)?;
        Ok(Self { disk })
    }

    /// Returns the reports in the file; none if there is no file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or decoded.
    pub async fn read(&self) -> io::Result<Vec<CrashReport>> {
        let disk = self.disk.clone();
        let read = self.disk.run_blocking(move || disk.read(NAME)).await;
        match read {
            Ok(bytes) => rmp_serde::from_slice(&bytes).map_err(io::Error::other),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Vec::new()),
            Err(error) => Err(error),
        }
    }

    /// Replaces the reports in the file; when this returns, they outlive a loss of power.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk does; the file then has its former contents.
    pub async fn write(&self, reports: &[CrashReport]) -> io::Result<()> {
        let bytes = rmp_serde::to_vec(reports).map_err(io::Error::other)?;
        let disk = self.disk.clone();
        let write = move || {
            disk.truncate(TEMPORARY_NAME, 0)?;
            disk.write(TEMPORARY_NAME, 0, &bytes)?;
            disk.sync(TEMPORARY_NAME)?;
            disk.rename(TEMPORARY_NAME, NAME)?;
            disk.sync_folder()
        };
        self.disk.run_blocking(write).await
    }
}

/// Writes the crash reports of a control instance whenever there are new ones, until it stops.
pub(super) async fn keep(state: std::sync::Arc<ControlState>, file: CrashFile) {
    loop {
        state.crashes_unsaved.notified().await;
        loop {
            let now = Instant::now();
            let crashes = state.crashes.lock().expect("no holder panics").to_vec(now);
            match file.write(&crashes).await {
                Ok(()) => {
                    info!(state.log, "crash reports saved"; "reports" => crashes.len(),
                        "took_ms" => now.elapsed().as_millis() as u64);
                    break;
                }
                Err(error) => {
                    warn!(state.log, "failed to save crash reports"; "error" => %error,
                        "reports" => crashes.len());
                    sleep(RETRY_DELAY).await;
                }
            }
        }
        sleep(WRITE_INTERVAL).await;
    }
}
