use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use laburnumdeal_control::Disk;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Disk in memory that keeps what was synced, and perhaps parts of the rest, over a crash.
#[derive(Clone)]
pub struct FakeDisk {
    inner: Arc<Mutex<Inner>>,
    generation: u64,
}

#[derive(Default)]
struct Inner {
    files: BTreeMap<u64, File>,
    next_file: u64,
    names: BTreeMap<String, u64>,
    synced_names: BTreeMap<String, u64>,
    generation: u64,
    locked: bool,
    /// Operations until the process is killed in the middle of one.
    kill_in: Option<u64>,
    room_bytes: Option<u64>,
    fails_sync: bool,
    delay_ms: u64,
}

#[derive(Clone, Default)]
struct File {
    bytes: Vec<u8>,
    synced: Vec<u8>,
}

pub struct FakeLock(FakeDisk);

impl Drop for FakeLock {
    fn drop(&mut self) {
        let mut inner = self.0.inner();
        if inner.generation == self.0.generation {
            inner.locked = false;
        }
    }
}

impl FakeDisk {
    pub fn new() -> Self {
        Self {
            inner: Arc::default(),
            generation: 0,
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap()
    }

    /// Crashes the process that uses the disk, and returns the disk as the next process finds it.
    pub fn crash(&self, seed: u64) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let mut inner = self.inner();
        for file in inner.files.values_mut() {
            let grown = file.bytes.len().saturating_sub(file.synced.len());
            let is_longer = file.bytes.starts_with(&file.synced);
            if is_longer && grown > 0 {
                let kept = file.synced.len() + generator.random_range(0..=grown);
                file.bytes.truncate(kept);
            } else {
                file.bytes = file.synced.clone();
            }
            file.synced = file.bytes.clone();
        }
        if generator.random() {
            inner.names = inner.synced_names.clone();
        }
        inner.synced_names = inner.names.clone();
        inner.generation += 1;
        inner.locked = false;
        inner.kill_in = None;
        inner.fails_sync = false;
        Self {
            inner: self.inner.clone(),
            generation: inner.generation,
        }
    }

    /// Kills the process in the middle of the operation after `operations` more.
    pub fn kill_in(&self, operations: u64) {
        self.inner().kill_in = Some(operations);
    }

    pub fn set_room(&self, room_bytes: Option<u64>) {
        self.inner().room_bytes = room_bytes;
    }

    pub fn set_fails_sync(&self, fails: bool) {
        self.inner().fails_sync = fails;
    }

    pub fn set_delay(&self, delay_ms: u64) {
        self.inner().delay_ms = delay_ms;
    }

    /// Returns the names of the files that start with `prefix`.
    pub fn names(&self, prefix: &str) -> Vec<String> {
        let inner = self.inner();
        let names = inner.names.keys().filter(|name| name.starts_with(prefix));
        names.cloned().collect()
    }

    /// Changes a file behind the process's back.
    pub fn edit(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut inner = self.inner();
        let id = inner.file_id(name);
        let file = inner.files.get_mut(&id).unwrap();
        change(&mut file.bytes);
        file.synced = file.bytes.clone();
        inner.synced_names = inner.names.clone();
    }

    /// Counts an operation. Returns whether the process is killed in the middle of it.
    fn begin(&self) -> io::Result<(MutexGuard<'_, Inner>, bool)> {
        let mut inner = self.inner();
        if inner.generation != self.generation || inner.kill_in == Some(0) {
            return Err(io::Error::other("the process was killed"));
        }
        let left = inner.kill_in.map(|left| left - 1);
        inner.kill_in = left;
        Ok((inner, left == Some(0)))
    }
}

impl Inner {
    fn file_id(&mut self, name: &str) -> u64 {
        if let Some(id) = self.names.get(name) {
            return *id;
        }
        self.next_file += 1;
        self.files.insert(self.next_file, File::default());
        self.names.insert(name.to_owned(), self.next_file);
        self.next_file
    }

    fn take_room(&mut self, wanted: usize) -> usize {
        let Some(room) = self.room_bytes.as_mut() else {
            return wanted;
        };
        let taken = wanted.min(usize::try_from(*room).unwrap());
        *room -= taken as u64;
        taken
    }
}

fn killed() -> io::Error {
    io::Error::other("the process was killed")
}

impl Disk for FakeDisk {
    type Lock = FakeLock;

    fn lock(&self, _: &str) -> io::Result<FakeLock> {
        let mut inner = self.inner();
        if inner.locked {
            return Err(ErrorKind::WouldBlock.into());
        }
        inner.locked = true;
        Ok(FakeLock(self.clone()))
    }

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.inner().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let inner = self.inner();
        let id = inner.names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(inner.files[id].bytes.clone())
    }

    fn write(&self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let (mut inner, is_killed) = self.begin()?;
        let wanted = if is_killed {
            bytes.len() / 2
        } else {
            bytes.len()
        };
        let taken = inner.take_room(wanted);
        let id = inner.file_id(name);
        let file = inner.files.get_mut(&id).unwrap();
        file.bytes.truncate(usize::try_from(offset).unwrap());
        file.bytes.extend_from_slice(&bytes[..taken]);
        match (is_killed, taken < wanted) {
            (true, _) => Err(killed()),
            (false, true) => Err(ErrorKind::StorageFull.into()),
            (false, false) => Ok(()),
        }
    }

    fn truncate(&self, name: &str, length_bytes: u64) -> io::Result<()> {
        let (mut inner, is_killed) = self.begin()?;
        if is_killed {
            return Err(killed());
        }
        let id = inner.file_id(name);
        let file = inner.files.get_mut(&id).unwrap();
        file.bytes.resize(usize::try_from(length_bytes).unwrap(), 0);
        Ok(())
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        let (mut inner, is_killed) = self.begin()?;
        if is_killed || inner.fails_sync {
            return Err(killed());
        }
        let id = inner.file_id(name);
        let file = inner.files.get_mut(&id).unwrap();
        file.synced = file.bytes.clone();
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let (mut inner, is_killed) = self.begin()?;
        if is_killed {
            return Err(killed());
        }
        let id = inner.names.remove(from).ok_or(ErrorKind::NotFound)?;
        inner.names.insert(to.to_owned(), id);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let (mut inner, is_killed) = self.begin()?;
        if is_killed {
            return Err(killed());
        }
        inner.names.remove(name).ok_or(ErrorKind::NotFound)?;
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let (mut inner, is_killed) = self.begin()?;
        if is_killed {
            return Err(killed());
        }
        inner.synced_names = inner.names.clone();
        Ok(())
    }

    async fn run_blocking<T: Send + 'static>(
        &self,
        work: impl FnOnce() -> T + Send + 'static,
    ) -> T {
        let delay_ms = self.inner().delay_ms;
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        work()
    }
}
