use std::collections::BTreeMap;

use laburnumdeal_policy::steer::UpstreamRecord;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::roles::UpstreamList;

/// Difference between two lists of upstreams, so that a small change of a long list is a short
/// message.
///
/// # Examples
///
/// ```
/// use laburnumdeal_daemon::roles::{ListChanges, UpstreamList};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let list = UpstreamList::new(Vec::new(), now);
/// let changes = ListChanges::between(&list, &list).unwrap();
/// assert_eq!(changes.apply_to(&list, now).unwrap().hash, list.hash);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChanges {
    /// Hash of the list that the changes apply to.
    #[serde(rename = "base_mark")]
    base_hash: u64,
    /// Hash of the list after them.
    #[serde(rename = "mark")]
    hash: u64,
    changed: Vec<UpstreamRecord>,
    gone: Vec<String>,
}

impl ListChanges {
    /// Returns the difference, or `None` when records share an identity and a difference by
    /// identity would be ambiguous.
    pub fn between(older: &UpstreamList, newer: &UpstreamList) -> Option<Self> {
        let before = by_id(older)?;
        let after = by_id(newer)?;
        let same = |record: &&UpstreamRecord| {
            let earlier = before.get(record.id.as_str());
            earlier.is_some_and(|earlier| UpstreamList::are_equivalent(earlier, record))
        };
        let changed = newer.records.iter().filter(|record| !same(record));
        let gone = before.keys().filter(|id| !after.contains_key(*id));
        Some(Self {
            base_hash: older.hash,
            hash: newer.hash,
            changed: changed.cloned().collect(),
            gone: gone.map(|id| (*id).to_owned()).collect(),
        })
    }

    /// Returns the list after the changes, or `None` when they apply to another list.
    pub fn apply_to(&self, held: &UpstreamList, read_at: Instant) -> Option<UpstreamList> {
        if held.hash != self.base_hash {
            return None;
        }
        let replaced = |id: &str| {
            self.gone.iter().any(|gone| gone == id)
                || self.changed.iter().any(|record| record.id == id)
        };
        let kept = held.records.iter().filter(|record| !replaced(&record.id));
        let records = kept.chain(&self.changed).cloned().collect();
        let list = UpstreamList::new(records, read_at);
        (list.hash == self.hash).then_some(list)
    }
}

/// Returns the records by identity; `None` when two share one.
fn by_id(list: &UpstreamList) -> Option<BTreeMap<&str, &UpstreamRecord>> {
    let records = list.records.iter();
    let by_id: BTreeMap<&str, &UpstreamRecord> =
        records.map(|record| (record.id.as_str(), record)).collect();
    (by_id.len() == list.records.len()).then_some(by_id)
}
