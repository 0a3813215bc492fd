use std::future::Future;
use std::io;

/// File operations in one data folder; files are named without a path. Tests substitute an
/// implementation that injects failures.
pub trait Disk: Clone + Send + Sync + 'static {
    /// Exclusive lock on the folder, released when it is dropped.
    type Lock: Send + Sync + 'static;

    /// Locks the folder by locking a file; returns [`io::ErrorKind::WouldBlock`] if another process
    /// holds the lock.
    fn lock(&self, name: &str) -> io::Result<Self::Lock>;

    /// Returns the names of all files.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Writes bytes to a file at an offset, creating the file if it does not exist.
    fn write(&self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Sets the length of a file, creating the file if it does not exist.
    fn truncate(&self, name: &str, length_bytes: u64) -> io::Result<()>;

    /// Flushes the contents of a file to stable storage.
    fn sync(&self, name: &str) -> io::Result<()>;

    /// Renames a file, replacing any file with the new name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Flushes the folder's entries, which makes created, renamed and removed files durable.
    fn sync_folder(&self) -> io::Result<()>;

    /// Runs blocking work without blocking the async executor.
    fn run_blocking<T: Send + 'static>(
        &self,
        work: impl FnOnce() -> T + Send + 'static,
    ) -> impl Future<Output = T> + Send;
}
