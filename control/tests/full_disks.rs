//! Disks that are full for some seconds, one after the other, at each operation of the file system.

use laburnumdeal_control::{Entry, Payload, ReplicaIdentity, Store};
use laburnumdeal_model::{Term, Version};

use crate::cluster::{Cluster, cap_shift, sleep};
use crate::fake_disk::{FakeDisk, Operation};

/// Time for which a disk is full.
const FULL_MS: u64 = 3_000;

/// Time between two disks that are full.
const PAUSE_MS: u64 = 3_000;

/// Longest time until a change is accepted after the last disk has space again.
const RECOVERY_MS: u64 = 5_000;

/// Interval between two attempts to submit a change.
const RETRY_MS: u64 = 100;

/// Submits changes to any replica for a while; returns how many were accepted.
async fn submit_for(cluster: &Cluster, duration_ms: u64, next_id: &mut u64) -> u64 {
    let mut accepted = 0;
    for attempt in 0..duration_ms / RETRY_MS {
        *next_id += 1;
        let replica = cluster.replica(attempt as usize % 3).clone();
        let submission = cap_shift(&format!("c-{next_id}"), *next_id);
        let submitting = tokio::spawn(async move { replica.submit(submission).await });
        sleep(RETRY_MS).await;
        let is_accepted = submitting.is_finished() && submitting.await.unwrap().is_ok();
        accepted += u64::from(is_accepted);
    }
    accepted
}

/// Makes one operation fail on each disk in turn, while changes are submitted and snapshots taken.
/// Changes must be accepted soon afterwards, and outlast a crash of all replicas.
async fn assert_recovers(operation: Operation, seed: u64) {
    let mut cluster = Cluster::new(3, seed);
    cluster.entries_per_snapshot = 7;
    cluster.start_all().await;
    cluster.leader().await;
    let mut next_id = 0;
    for number in 0..3 {
        cluster.disks[number].set_full_operation(Some(operation));
        submit_for(&cluster, FULL_MS, &mut next_id).await;
        cluster.disks[number].set_full_operation(None);
        submit_for(&cluster, PAUSE_MS, &mut next_id).await;
    }
    let accepted = submit_for(&cluster, RECOVERY_MS, &mut next_id).await;
    assert!(
        accepted > 0,
        "{operation:?}, seed {seed}: no change is accepted"
    );
    cluster.wait_for_convergence().await;
    let version = cluster.replica(0).status().version;
    assert!(version > Version(0));
    for number in 0..3 {
        cluster.crash(number);
    }
    cluster.start_all().await;
    cluster.wait_for_convergence().await;
    for number in 0..3 {
        let restored = cluster.replica(number).status().version;
        assert_eq!(
            restored, version,
            "{operation:?}, seed {seed}: replica {number} lost changes"
        );
    }
}

// Guards against: after the disks of three instances were full for some seconds, one after the other,
// no change is accepted until processes are restarted.
#[tokio::test(start_paused = true)]
async fn submit_after_each_disk_was_full_in_turn_is_accepted() {
    for (seed, operation) in (1..).zip(Operation::ALL) {
        assert_recovers(operation, seed).await;
    }
}

fn noop(index: u64) -> Entry {
    Entry {
        index,
        term: Term(1),
        payload: Payload::Noop,
    }
}

fn indexes(disk: FakeDisk) -> Vec<u64> {
    let (_, loaded) = Store::open(disk, "control-0", ReplicaIdentity::random()).unwrap();
    loaded.entries.iter().map(|entry| entry.index).collect()
}

/// Appends entries and stores a snapshot on a disk with 2 entries while operations fail, then appends
/// more. All of them are there after a crash.
fn assert_stores_all(set_full: impl Fn(&FakeDisk), seed: u64, case: &str) {
    let disk = FakeDisk::new();
    let opened = Store::open(disk.clone(), "control-0", ReplicaIdentity::random());
    let (mut store, _) = opened.unwrap();
    store.append(&[noop(1), noop(2)]).unwrap();
    set_full(&disk);
    let appended = store.append(&[noop(3)]);
    let later: &[Entry] = if appended.is_ok() { &[noop(3)] } else { &[] };
    let _ = store.save_snapshot(2, &[0; 40], later);
    disk.set_full_operation(None);
    disk.set_full_after(None);
    if appended.is_err() {
        store.append(&[noop(3)]).unwrap();
    }
    store.append(&[noop(4)]).unwrap();
    let stored = indexes(disk.crash(seed));
    assert!(stored.ends_with(&[3, 4]), "{case}, seed {seed}: {stored:?}");
}

// Guards against: an operation that fails for lack of space ends all later writes, or makes the disk
// forget entries that were stored before or are stored afterwards.
#[test]
fn append_after_an_operation_without_space_stores_all() {
    for operation in Operation::ALL {
        for seed in 0..8 {
            let case = format!("{operation:?}");
            assert_stores_all(|disk| disk.set_full_operation(Some(operation)), seed, &case);
        }
    }
}
// Guards against: the same if a single one of the operations of a write fails.
#[test]
fn append_after_one_operation_without_space_stores_all() {
    for position in 0..24 {
        for seed in 0..8 {
            let case = format!("operation {position}");
            assert_stores_all(|disk| disk.set_full_after(Some(position)), seed, &case);
        }
    }
}
