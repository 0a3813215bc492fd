use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::volatile::Volatile;
use crate::{Disk, Loaded, State, StorageError, Store};

/// Opens the folder where it holds up no other task.
pub(crate) async fn open<D: Disk>(
    disk: &D,
    name: &str,
    generator: &mut ChaCha8Rng,
) -> Result<(Store<D>, Loaded), StorageError> {
    let (files, name, mut own) = (disk.clone(), name.to_owned(), generator.clone());
    let opened = disk.run(move || Store::open(files, &name, &mut own)).await;
    *generator = ChaCha8Rng::from_rng(generator);
    opened
}

/// Returns the memory of a replica as its folder has it.
pub(crate) fn restore(loaded: Loaded) -> Result<Volatile, StorageError> {
    let state = match &loaded.snapshot {
        Some(bytes) => {
            rmp_serde::from_slice::<State>(bytes).map_err(|error| StorageError::Damaged {
                file: "snapshot".to_owned(),
                offset: 0,
                reason: error.to_string(),
            })?
        }
        None => State::default(),
    };
    let later = loaded.entries.into_iter();
    let later = later.filter(|entry| entry.index > state.index && entry.term >= state.term);
    let later: Vec<_> = later.collect();
    match later.first() {
        Some(first) if first.index != state.index + 1 => Err(StorageError::Damaged {
            file: "log".to_owned(),
            offset: 0,
            reason: format!("entry {} is missing", state.index + 1),
        }),
        _ => {
            let mut volatile = Volatile::new(loaded.identity, loaded.vote, state, later);
            volatile.audit_files = loaded.audit_files;
            Ok(volatile)
        }
    }
}
