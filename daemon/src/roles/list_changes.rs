use std::collections::BTreeMap;

use laburnumdeal_policy::steer::UpstreamRecord;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::roles::UpstreamList;

/// Difference between two lists of upstreams, so that a small change to a long list needs only a
/// short message.
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
    /// Hash of the list after the changes.
    #[serde(rename = "mark")]
    hash: u64,
    changed: Vec<UpstreamRecord>,
    gone: Vec<String>,
}

impl ListChanges {
    /// Returns the difference between two lists. Returns `None` if records of one list share an ID,
    /// because a difference by ID would be ambiguous.
    pub fn between(older: &UpstreamList, newer: &UpstreamList) -> Option<Self> {
        let before = by_id(older)?;
        let after = by_id(newer)?;
        let is_unchanged = |record: &&UpstreamRecord| {
            let earlier = before.get(record.id.as_str());
            earlier.is_some_and(|earlier| UpstreamList::are_equivalent(earlier, record))
        };
        let changed = newer.records.iter().filter(|record| !is_unchanged(record));
        let gone = before.keys().filter(|id| !after.contains_key(*id));
        Some(Self {
            base_hash: older.hash,
            hash: newer.hash,
            changed: changed.cloned().collect(),
            gone: gone.map(|id| (*id).to_owned()).collect(),
        })
    }

    /// Returns the list after the changes, or `None` if they do not apply to `base`.
    pub fn apply_to(&self, base: &UpstreamList, read_at: Instant) -> Option<UpstreamList> {
        if base.hash != self.base_hash {
            return None;
        }
        let is_replaced = |id: &str| {
            self.gone.iter().any(|gone| gone == id)
                || self.changed.iter().any(|record| record.id == id)
        };
        let unchanged = base
            .records
            .iter()
            .filter(|record| !is_replaced(&record.id));
        let records = unchanged.chain(&self.changed).cloned().collect();
        let list = UpstreamList::new(records, read_at);
        (list.hash == self.hash).then_some(list)
    }
}

/// Returns the records by ID, or `None` if two records share one.
fn by_id(list: &UpstreamList) -> Option<BTreeMap<&str, &UpstreamRecord>> {
    let records = list.records.iter();
    let by_id: BTreeMap<&str, &UpstreamRecord> =
        records.map(|record| (record.id.as_str(), record)).collect();
    (by_id.len() == list.records.len()).then_some(by_id)
}
