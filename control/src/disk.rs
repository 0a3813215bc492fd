use std::future::Future;
use std::io;

/// Files of one data folder, named without a path. Tests put one that fails in its place.
pub trait Disk: Clone + Send + Sync + 'static {
    /// Holds the folder for one process until it is dropped.
    type Lock: Send + Sync + 'static;

    /// Locks the folder through a file; another holder gives [`io::ErrorKind::WouldBlock`].
    fn lock(&self, name: &str) -> io::Result<Self::Lock>;

    /// Returns the names of all files.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the contents of a file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Writes at an offset, and creates the file when it is missing.
    fn write(&self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Sets the length of a file.
    fn truncate(&self, name: &str, length_bytes: u64) -> io::Result<()>;

    /// Returns once the contents of a file last.
    fn sync(&self, name: &str) -> io::Result<()>;

    /// Gives a file another name; a file of that name goes.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Returns once created, renamed and removed names last.
    fn sync_folder(&self) -> io::Result<()>;

    /// Runs work that waits for the disk where it holds up no other task.
    fn run_blocking<T: Send + 'static>(
        &self,
        work: impl FnOnce() -> T + Send + 'static,
    ) -> impl Future<Output = T> + Send;
}
