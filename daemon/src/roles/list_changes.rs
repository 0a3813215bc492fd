use std::collections::BTreeMap;

use laburnumdeal_policy::steer::UpstreamRecord;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::roles::ListedUpstreams;

/// Difference between two lists of upstreams, so that a small change of a long list is a short
/// message.
///
/// # Examples
///
/// ```
/// use laburnumdeal_daemon::roles::{ListChanges, ListedUpstreams};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let list = ListedUpstreams::new(Vec::new(), now);
/// let changes = ListChanges::between(&list, &list).unwrap();
/// assert_eq!(changes.applied_to(&list, now).unwrap().mark, list.mark);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChanges {
    /// Mark of the list that the changes apply to.
    base_mark: u64,
    /// Mark of the list after them.
    mark: u64,
    changed: Vec<UpstreamRecord>,
    gone: Vec<String>,
}

impl ListChanges {
    /// Returns the difference, or `None` when records share an identity and a difference by
    /// identity would be ambiguous.
    pub fn between(older: &ListedUpstreams, newer: &ListedUpstreams) -> Option<Self> {
        let before = by_id(older)?;
        let after = by_id(newer)?;
        let same = |record: &&UpstreamRecord| {
            let earlier = before.get(record.id.as_str());
            earlier.is_some_and(|earlier| ListedUpstreams::are_alike(earlier, record))
        };
        let changed = newer.records.iter().filter(|record| !same(record));
        let gone = before.keys().filter(|id| !after.contains_key(*id));
        Some(Self {
            base_mark: older.mark,
            mark: newer.mark,
            changed: changed.cloned().collect(),
            gone: gone.map(|id| (*id).to_owned()).collect(),
        })
    }

    /// Returns the list after the changes, or `None` when they apply to another list.
    pub fn applied_to(&self, held: &ListedUpstreams, read_at: Instant) -> Option<ListedUpstreams> {
        if held.mark != self.base_mark {
            return None;
        }
        let replaced = |id: &str| {
            self.gone.iter().any(|gone| gone == id)
                || self.changed.iter().any(|record| record.id == id)
        };
        let kept = held.records.iter().filter(|record| !replaced(&record.id));
        let records = kept.chain(&self.changed).cloned().collect();
        let list = ListedUpstreams::new(records, read_at);
        (list.mark == self.mark).then_some(list)
    }
}

/// Returns the records by identity; `None` when two share one.
fn by_id(list: &ListedUpstreams) -> Option<BTreeMap<&str, &UpstreamRecord>> {
    let records = list.records.iter();
    let by_id: BTreeMap<&str, &UpstreamRecord> =
        records.map(|record| (record.id.as_str(), record)).collect();
    (by_id.len() == list.records.len()).then_some(by_id)
}
