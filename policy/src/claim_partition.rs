use std::collections::{BTreeSet, HashMap};

use crate::KeyId;
use crate::claim_state::{ClaimEntry, ClaimState};

/// Records of the keys that one run of one instance is responsible for.
#[derive(Debug, Default)]
pub(crate) struct ClaimPartition {
    entries: HashMap<KeyId, ClaimEntry>,
    /// Keys in eviction order.
    by_stamp: BTreeSet<(u64, KeyId)>,
    /// Highest stamp of an evicted record; a key issued at or before it may have lost its record.
    pub floor_ms: Option<u64>,
    /// Whether new keys are refused; a key without a record then never runs.
    pub is_closed: bool,
}

/// State of a key that has no record in a partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnrecordedKey {
    /// The key is new and can be claimed or fenced.
    Claimable,
    /// The partition is closed: the key was never claimed here and no longer can be.
    NeverRuns,
    /// The key may have had a record that was evicted.
    MaybeEvicted,
}

impl ClaimPartition {
    /// Returns an empty partition that refuses new keys.
    pub fn closed(floor_ms: Option<u64>) -> Self {
        Self {
            is_closed: true,
            floor_ms,
            ..Self::default()
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn entry(&self, key: KeyId) -> Option<&ClaimEntry> {
        self.entries.get(&key)
    }

    pub fn entry_mut(&mut self, key: KeyId) -> Option<&mut ClaimEntry> {
        self.entries.get_mut(&key)
    }

    pub fn entries(&self) -> impl Iterator<Item = (KeyId, &ClaimEntry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    pub fn entries_mut(&mut self) -> impl Iterator<Item = &mut ClaimEntry> {
        self.entries.values_mut()
    }

    /// Returns the state of a key without a record whose token has the given stamp.
    pub fn unrecorded_key(&self, stamp_ms: u64) -> UnrecordedKey {
        if self.floor_ms.is_some_and(|floor_ms| stamp_ms <= floor_ms) {
            UnrecordedKey::MaybeEvicted
        } else if self.is_closed {
            UnrecordedKey::NeverRuns
        } else {
            UnrecordedKey::Claimable
        }
    }

    pub fn insert(&mut self, key: KeyId, entry: ClaimEntry) {
        self.by_stamp.insert((entry.stamp_ms, key));
        if let Some(old) = self.entries.insert(key, entry) {
            let stamp_ms = self.entries[&key].stamp_ms;
            if old.stamp_ms != stamp_ms {
                self.by_stamp.remove(&(old.stamp_ms, key));
            }
        }
    }

    /// Returns the lowest stamp of all records.
    pub fn oldest_stamp_ms(&self) -> Option<u64> {
        self.by_stamp.first().map(|(stamp_ms, _)| *stamp_ms)
    }

    /// Removes the record with the lowest stamp, raises the floor to it and returns its state.
    pub fn evict_oldest(&mut self) -> Option<ClaimState> {
        let (stamp_ms, key) = self.by_stamp.pop_first()?;
        self.floor_ms = self.floor_ms.max(Some(stamp_ms));
        self.entries.remove(&key).map(|entry| entry.state)
    }

    /// Removes the record with the lowest stamp if that is at or below the limit and the request is not in
    /// flight. Leaves the floor as it is.
    pub fn expire_one(&mut self, limit_ms: u64) -> Option<ClaimState> {
        let (stamp_ms, key) = *self.by_stamp.first()?;
        if stamp_ms > limit_ms || self.entries[&key].state.is_in_flight() {
            return None;
        }
        self.by_stamp.pop_first();
        self.entries.remove(&key).map(|entry| entry.state)
    }
}
