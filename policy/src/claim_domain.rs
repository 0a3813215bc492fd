use std::collections::{BTreeSet, HashMap};

use crate::KeyId;
use crate::claim_state::{ClaimEntry, ClaimState};

/// Records of the keys that one run of one instance answers for.
#[derive(Debug, Default)]
pub(crate) struct ClaimDomain {
    entries: HashMap<KeyId, ClaimEntry>,
    by_stamp: BTreeSet<(u64, KeyId)>,
    /// Every token with a stamp at or below is unknown here.
    pub floor_ms: Option<u64>,
    /// No further key is taken; a key without a record never runs.
    pub closed: bool,
}

/// What a domain knows of a key that has no record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Vacancy {
    /// The key is new and may be claimed or fenced.
    Open,
    /// The key was never claimed here and can no longer be.
    Closed,
    /// A record may have been evicted.
    BelowFloor,
}

impl ClaimDomain {
    /// Returns an empty domain that takes no key.
    pub fn closed(floor_ms: Option<u64>) -> Self {
        Self {
            closed: true,
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

    /// Returns what the absence of a record means for a token of this stamp.
    pub fn vacancy(&self, stamp_ms: u64) -> Vacancy {
        if self.floor_ms.is_some_and(|floor_ms| stamp_ms <= floor_ms) {
            Vacancy::BelowFloor
        } else if self.closed {
            Vacancy::Closed
        } else {
            Vacancy::Open
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

    /// Returns the lowest stamp of a record.
    pub fn oldest_stamp_ms(&self) -> Option<u64> {
        self.by_stamp.first().map(|(stamp_ms, _)| *stamp_ms)
    }

    /// Removes the record with the lowest stamp, raises the floor to it and returns its state.
    pub fn evict_oldest(&mut self) -> Option<ClaimState> {
        let (stamp_ms, key) = self.by_stamp.pop_first()?;
        self.floor_ms = self.floor_ms.max(Some(stamp_ms));
        self.entries.remove(&key).map(|entry| entry.state)
    }

    /// Removes a record with a stamp at or below the limit that is not in flight, without a floor.
    pub fn expire_one(&mut self, limit_ms: u64) -> Option<ClaimState> {
        let (stamp_ms, key) = *self.by_stamp.first()?;
        if stamp_ms > limit_ms || self.entries[&key].state.is_in_flight() {
            return None;
        }
        self.by_stamp.pop_first();
        self.entries.remove(&key).map(|entry| entry.state)
    }
}
