use std::collections::BTreeMap;

use laburnumdeal_model::{BootId, InstanceId};

use crate::KeyId;

/// Names the domain that a record lies in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum DomainId {
    /// Keys with a token that names this run.
    Own,
    /// Keys without a token.
    Bare,
    /// Keys with a token that names a run that handed its claims over.
    Imported(InstanceId, BootId),
}

/// Eviction order and total size of the stored answers.
#[derive(Debug, Default)]
pub(crate) struct AnswerShelf {
    places: BTreeMap<u64, Place>,
    next: u64,
    len_bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    domain: DomainId,
    key: KeyId,
    len_bytes: usize,
}

impl AnswerShelf {
    /// Returns the memory of all stored answers, in bytes.
    pub fn len_bytes(&self) -> usize {
        self.len_bytes
    }

    /// Counts a new answer and returns its place in the order.
    pub fn add(&mut self, domain: DomainId, key: KeyId, len_bytes: usize) -> u64 {
        let order = self.next;
        self.next += 1;
        self.len_bytes += len_bytes;
        let place = Place {
            domain,
            key,
            len_bytes,
        };
        self.places.insert(order, place);
        order
    }

    /// Forgets the answer at a place.
    pub fn remove(&mut self, order: u64) {
        if let Some(place) = self.places.remove(&order) {
            self.len_bytes -= place.len_bytes;
        }
    }

    /// Forgets the oldest answer and returns where its record lies.
    pub fn pop_oldest(&mut self) -> Option<(DomainId, KeyId)> {
        let (_, place) = self.places.pop_first()?;
        self.len_bytes -= place.len_bytes;
        Some((place.domain, place.key))
    }
}
