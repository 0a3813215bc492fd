use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use fs4::fs_std::FileExt;

use crate::Disk;

/// [`Disk`] on a folder of the file system.
#[derive(Clone, Debug)]
pub struct FileDisk {
    folder: Arc<PathBuf>,
}

impl FileDisk {
    /// Opens a folder, creating it if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns the file system's error if the folder cannot be created.
    pub fn open(folder: &Path) -> io::Result<Self> {
        fs::create_dir_all(folder)?;
        Ok(Self {
            folder: Arc::new(folder.to_owned()),
        })
    }

    fn open_file(&self, name: &str) -> io::Result<File> {
        let path = self.folder.join(name);
        let mut options = OpenOptions::new();
        options.read(true).write(true).create(true).truncate(false);
        options.open(path)
    }
}

impl Disk for FileDisk {
    type Lock = File;

    fn lock(&self, name: &str) -> io::Result<File> {
        let file = self.open_file(name)?;
        match FileExt::try_lock_exclusive(&file)? {
            true => Ok(file),
            false => Err(io::ErrorKind::WouldBlock.into()),
        }
    }

    fn list(&self) -> io::Result<Vec<String>> {
        let entries = fs::read_dir(&*self.folder)?;
        entries
            .map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned()))
            .collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.folder.join(name))
    }

    fn write(&self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut file = self.open_file(name)?;
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)
    }

    fn truncate(&self, name: &str, length_bytes: u64) -> io::Result<()> {
        self.open_file(name)?.set_len(length_bytes)
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        File::open(self.folder.join(name))?.sync_all()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&*self.folder)?.sync_all()
    }

    async fn run_blocking<T: Send + 'static>(
        &self,
        work: impl FnOnce() -> T + Send + 'static,
    ) -> T {
        let running = tokio::task::spawn_blocking(work);
        running.await.expect("disk operations do not panic")
    }
}
