use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use crate::roles::{ListChanges, UpstreamList};

/// Earlier lists that are kept. Lists change with each read at most, so these reach back some
/// seconds; whoever is further behind is told the whole list.
const LISTS_KEPT: usize = 16;

/// Lists of upstreams of the last seconds, to tell followers what has changed since theirs.
#[derive(Debug, Default)]
pub(super) struct ListHistory {
    lists: Mutex<VecDeque<Arc<UpstreamList>>>,
}

impl ListHistory {
    /// Keeps a list.
    pub fn push(&self, list: Arc<UpstreamList>) {
        let mut lists = self.lists.lock().expect("no holder panics");
        if lists.len() >= LISTS_KEPT {
            lists.pop_front();
        }
        lists.push_back(list);
    }

    /// Returns what has changed between the list with a hash and a newer one, if it is known.
    pub fn changes(&self, base_hash: u64, newer: &UpstreamList) -> Option<ListChanges> {
        let lists = self.lists.lock().expect("no holder panics");
        let base = lists.iter().rev().find(|list| list.hash == base_hash)?;
        ListChanges::between(base, newer)
    }
}
