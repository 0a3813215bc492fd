use crate::files::VOTE;
use crate::volatile_state::VolatileState;
use crate::{Disk, ReplicaIdentity, State, StorageError, Store, StoreContents};

/// Opens the store without blocking the async executor.
pub(crate) async fn open_store<D: Disk>(
    disk: &D,
    name: &str,
    identity: ReplicaIdentity,
) -> Result<(Store<D>, StoreContents), StorageError> {
    let (own_disk, name) = (disk.clone(), name.to_owned());
    disk.run_blocking(move || Store::open(own_disk, &name, identity))
        .await
}

/// Stores that this replica takes part in a first start, without blocking the async executor.
pub(crate) async fn save_bootstrapping<D: Disk>(
    disk: &D,
    mut store: Store<D>,
) -> (Store<D>, Result<(), StorageError>) {
    disk.run_blocking(move || {
        let saved = store.save_bootstrapping();
        (store, saved)
    })
    .await
}

/// Rebuilds the in-memory state from the contents of the store. Fails if the log has a gap or
/// contains a term newer than the stored vote, since the vote file was lost or is out of date then.
pub(crate) fn recover(loaded: StoreContents) -> Result<VolatileState, StorageError> {
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
    let newest_term = later.last().map_or(state.term, |entry| entry.term);
    if loaded.vote.term < newest_term {
        return Err(StorageError::Damaged {
            file: VOTE.to_owned(),
            offset: 0,
            reason: format!(
                "the log has term {newest_term}, the vote only {}",
                loaded.vote.term
            ),
        });
    }
    match later.first() {
        Some(first) if first.index != state.index + 1 => Err(StorageError::Damaged {
            file: "log".to_owned(),
            offset: 0,
            reason: format!("entry {} is missing", state.index + 1),
        }),
        _ => {
            let mut volatile = VolatileState::new(loaded.identity, loaded.vote, state, later);
            volatile.audit_files = loaded.audit_files;
            Ok(volatile)
        }
    }
}
