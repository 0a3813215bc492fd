use std::collections::BTreeMap;

use laburnumdeal_model::{BootId, InstanceId};

use crate::KeyId;

/// Identifies the partition of the claim table that a record belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum PartitionId {
    /// Keys whose token names this run of this instance.
    Own,
    /// Keys without a token.
    Tokenless,
    /// Keys whose token names the given run of another instance, which handed its claims over.
    Imported(InstanceId, BootId),
}

/// Stored answers in eviction order, oldest first, and their total size.
#[derive(Debug, Default)]
pub(crate) struct AnswerQueue {
    answers: BTreeMap<u64, QueuedAnswer>,
    next_order: u64,
    len_bytes: usize,
}

#[derive(Clone, Copy, Debug)]
struct QueuedAnswer {
    partition: PartitionId,
    key: KeyId,
    len_bytes: usize,
}

impl AnswerQueue {
    /// Returns the memory used by all stored answers, in bytes.
    pub fn len_bytes(&self) -> usize {
        self.len_bytes
    }

    /// Adds a new answer and returns its number in the eviction order.
    pub fn add(&mut self, partition: PartitionId, key: KeyId, len_bytes: usize) -> u64 {
        let order = self.next_order;
        self.next_order += 1;
        self.len_bytes += len_bytes;
        let answer = QueuedAnswer {
            partition,
            key,
            len_bytes,
        };
        self.answers.insert(order, answer);
        order
    }

    /// Removes the answer with the given number.
    pub fn remove(&mut self, order: u64) {
        if let Some(answer) = self.answers.remove(&order) {
            self.len_bytes -= answer.len_bytes;
        }
    }

    /// Removes the oldest answer and returns the partition and key of its record.
    pub fn pop_oldest(&mut self) -> Option<(PartitionId, KeyId)> {
        let (_, answer) = self.answers.pop_first()?;
        self.len_bytes -= answer.len_bytes;
        Some((answer.partition, answer.key))
    }
}
