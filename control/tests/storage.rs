use laburnumdeal_control::{Disk, Entry, Payload, ReplicaIdentity, StorageError, Store, Vote};
use laburnumdeal_model::Term;

use crate::fake_disk::FakeDisk;

const NAME: &str = "control-0";

fn open(
    disk: &FakeDisk,
) -> Result<(Store<FakeDisk>, laburnumdeal_control::StoreContents), StorageError> {
    Store::open(disk.clone(), NAME, ReplicaIdentity(1))
}

fn noop(index: u64) -> Entry {
    Entry {
        index,
        term: Term(1),
        payload: Payload::Noop,
    }
}

fn indexes(entries: &[Entry]) -> Vec<u64> {
    entries.iter().map(|entry| entry.index).collect()
}

/// Stores `count` entries and crashes; returns the disk as the restarted process finds it.
fn disk_with_entries(count: u64) -> FakeDisk {
    let disk = FakeDisk::new();
    let (mut store, _) = open(&disk).unwrap();
    for index in 1..=count {
        store.append(&[noop(index)]).unwrap();
    }
    disk.crash(1)
}

#[test]
fn append_is_durable() {
    let disk = disk_with_entries(3);
    let (_, loaded) = open(&disk).unwrap();
    assert_eq!(indexes(&loaded.entries), [1, 2, 3]);
    assert_eq!(loaded.truncated_bytes, 0);
}

#[test]
fn append_existing_index_replaces_later_entries() {
    let disk = disk_with_entries(3);
    let (mut store, _) = open(&disk).unwrap();
    store.append(&[noop(2)]).unwrap();
    let (_, loaded) = open(&disk.crash(2)).unwrap();
    assert_eq!(indexes(&loaded.entries), [1, 2]);
}

/// Crashes the process at each disk operation of `work` and opens the store again. Passes the
/// number of the operation, whether `work` was acknowledged, and what was loaded to `check`.
fn crash_at_each_step(
    work: impl Fn(&mut Store<FakeDisk>) -> Result<(), StorageError>,
    check: impl Fn(u64, bool, laburnumdeal_control::StoreContents),
) {
    for seed in 0..8 {
        for step in 1.. {
            let disk = disk_with_entries(4);
            let (mut store, _) = open(&disk).unwrap();
            disk.crash_after(step);
            let is_acknowledged = work(&mut store).is_ok();
            drop(store);
            let (_, loaded) = open(&disk.crash(seed)).unwrap();
            check(step, is_acknowledged, loaded);
            if is_acknowledged {
                assert!(step > 1, "the work has disk operations");
                break;
            }
        }
    }
}

#[test]
fn append_crashed_at_each_step() {
    crash_at_each_step(
        |store| store.append(&[noop(5), noop(6)]),
        |step, is_acknowledged, loaded| {
            let found = indexes(&loaded.entries);
            let whole = found == [1, 2, 3, 4, 5, 6];
            let without = found == [1, 2, 3, 4];
            assert!(
                whole || (without && !is_acknowledged),
                "step {step}: {found:?}"
            );
        },
    );
}

#[test]
fn save_vote_crashed_at_each_step() {
    let vote = Vote {
        term: Term(9),
        voted_for: None,
    };
    crash_at_each_step(
        |store| store.save_vote(vote),
        |step, is_acknowledged, loaded| {
            let kept = loaded.vote == vote || !is_acknowledged;
            assert!(kept, "step {step}: {:?}", loaded.vote);
            assert_eq!(indexes(&loaded.entries), [1, 2, 3, 4]);
        },
    );
}

#[test]
fn save_snapshot_crashed_at_each_step() {
    crash_at_each_step(
        |store| store.save_snapshot(3, b"state", &[noop(4)]),
        |step, is_acknowledged, loaded| {
            let found = indexes(&loaded.entries);
            match loaded.snapshot {
                Some(snapshot) => {
                    assert_eq!(snapshot, b"state", "step {step}");
                    assert!(
                        found == [4] || found == [1, 2, 3, 4],
                        "step {step}: {found:?}"
                    );
                }
                None => {
                    assert!(!is_acknowledged, "step {step}");
                    assert_eq!(found, [1, 2, 3, 4], "step {step}");
                }
            }
        },
    );
}

#[test]
fn open_crashed_at_each_step() {
    for seed in 0..8 {
        for step in 1.. {
            let disk = FakeDisk::new();
            disk.crash_after(step);
            let is_open = open(&disk).is_ok();
            let (mut store, loaded) = open(&disk.crash(seed)).unwrap();
            assert!(loaded.entries.is_empty());
            store.append(&[noop(1)]).unwrap();
            if is_open {
                break;
            }
        }
    }
}

#[test]
fn open_truncates_incomplete_frame_at_end() {
    let disk = disk_with_entries(3);
    let log = disk.names("log-").remove(0);
    disk.edit(&log, |bytes| bytes.truncate(bytes.len() - 1));
    let (mut store, loaded) = open(&disk).unwrap();
    assert_eq!(indexes(&loaded.entries), [1, 2]);
    assert!(loaded.truncated_bytes > 0);
    store.append(&[noop(3)]).unwrap();
    drop(store);
    assert_eq!(indexes(&open(&disk).unwrap().1.entries), [1, 2, 3]);
}

#[test]
fn open_corruption_before_last_frame_names_file_and_offset() {
    let intact = disk_with_entries(4);
    let log = intact.names("log-").remove(0);
    let length = intact.read(&log).unwrap().len();
    let last_frame = length - frame_bytes(&intact, &log);
    for offset in 0..last_frame {
        let disk = disk_with_entries(4);
        disk.edit(&log, |bytes| bytes[offset] ^= 0x40);
        let error = open(&disk).err().expect("corruption is detected");
        assert!(error.to_string().contains(&log), "{error}");
        let reported = match error {
            StorageError::Damaged { offset, .. } | StorageError::NewerFormat { offset, .. } => {
                offset
            }
            other => panic!("byte {offset}: {other}"),
        };
        assert!(
            reported <= offset as u64,
            "corruption of byte {offset} was reported at {reported}"
        );
    }
}

/// Returns the length of the frame of one entry, in bytes.
fn frame_bytes(disk: &FakeDisk, log: &str) -> usize {
    let before = disk.read(log).unwrap().len();
    let longer = disk_with_entries(5);
    longer.read(log).unwrap().len() - before
}

#[test]
fn open_corrupt_snapshot_is_refused() {
    let disk = disk_with_entries(4);
    open(&disk)
        .unwrap()
        .0
        .save_snapshot(4, b"state", &[])
        .unwrap();
    let snapshot = disk.names("snapshot-").remove(0);
    disk.edit(&snapshot, |bytes| *bytes.last_mut().unwrap() ^= 1);
    let error = open(&disk).err().unwrap();
    assert!(
        matches!(error, StorageError::Damaged { ref file, .. } if *file == snapshot),
        "{error}"
    );
}

#[test]
fn open_newer_format_is_refused() {
    let disk = disk_with_entries(1);
    disk.edit("replica", |bytes| bytes[6] = 2);
    let error = open(&disk).err().unwrap().to_string();
    insta::assert_snapshot!(error, @r#"file "replica" has format 2 at offset 6; this release reads up to 1"#);
}

#[test]
fn open_foreign_folder_is_refused() {
    let disk = FakeDisk::new();
    disk.edit("holiday.jpg", |bytes| bytes.push(1));
    let error = open(&disk).err().unwrap().to_string();
    insta::assert_snapshot!(error, @r#"the data folder does not belong to this replica: file "holiday.jpg": the folder is not empty, but has no file "replica""#);
}

#[test]
fn open_folder_of_another_instance_is_refused() {
    let disk = disk_with_entries(1);
    let error = Store::open(disk, "control-1", ReplicaIdentity(1))
        .err()
        .unwrap();
    assert!(matches!(error, StorageError::Foreign { .. }), "{error}");
}

#[test]
fn open_second_process_is_refused() {
    let disk = disk_with_entries(1);
    let (store, _) = open(&disk).unwrap();
    let error = open(&disk).err().unwrap();
    assert!(matches!(error, StorageError::InUse { .. }), "{error}");
    drop(store);
    assert!(open(&disk).is_ok());
}

#[test]
fn append_on_full_disk_stores_nothing() {
    for free_bytes in 0..20 {
        let disk = disk_with_entries(2);
        let (mut store, _) = open(&disk).unwrap();
        disk.set_free_bytes(Some(free_bytes));
        assert!(store.append(&[noop(3)]).unwrap_err().is_full());
        disk.set_free_bytes(None);
        store.append(&[noop(3)]).unwrap();
        let (_, loaded) = open(&disk.crash(1)).unwrap();
        assert_eq!(indexes(&loaded.entries), [1, 2, 3]);
    }
}

#[test]
fn append_after_failed_sync_is_refused() {
    let disk = disk_with_entries(2);
    let (mut store, _) = open(&disk).unwrap();
    disk.set_fails_sync(true);
    assert!(!store.append(&[noop(3)]).unwrap_err().is_full());
    disk.set_fails_sync(false);
    let error = store.append(&[noop(3)]).unwrap_err();
    assert!(matches!(error, StorageError::Unsynced { .. }), "{error}");
}

#[test]
fn save_snapshot_on_full_disk_keeps_log() {
    let disk = disk_with_entries(3);
    let (mut store, _) = open(&disk).unwrap();
    disk.set_free_bytes(Some(30));
    assert!(
        store
            .save_snapshot(2, &[0; 40], &[noop(3)])
            .unwrap_err()
            .is_full()
    );
    disk.set_free_bytes(None);
    store.append(&[noop(4)]).unwrap();
    drop(store);
    assert_eq!(indexes(&open(&disk).unwrap().1.entries), [1, 2, 3, 4]);
}
