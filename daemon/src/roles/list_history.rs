use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

use crate::roles::{ListChanges, UpstreamList};

/// Number of recent lists that are kept. The list changes at most once per read, so they cover
/// several seconds; a follower that is further behind receives the whole list.
const MAX_LISTS: usize = 16;

/// Recent lists of upstreams, from which the changes for a follower are computed.
#[derive(Debug, Default)]
pub(super) struct ListHistory {
    lists: Mutex<VecDeque<Arc<UpstreamList>>>,
}

impl ListHistory {
    /// Adds the newest list and drops the oldest if there are too many.
    pub fn push(&self, list: Arc<UpstreamList>) {
        let mut lists = self.lists.lock().expect("no holder panics");
        if lists.len() >= MAX_LISTS {
            lists.pop_front();
        }
        lists.push_back(list);
    }

    /// Returns the changes from the list with the hash `base_hash` to a newer one. Returns `None`
    /// if the base is no longer kept, or a difference would be ambiguous.
    pub fn changes_since(&self, base_hash: u64, newer: &UpstreamList) -> Option<ListChanges> {
        let lists = self.lists.lock().expect("no holder panics");
        let base = lists.iter().rev().find(|list| list.hash == base_hash)?;
        ListChanges::between(base, newer)
    }
}
