use std::sync::Arc;

use laburnumdeal_control::{encoded_bytes, replay};
use laburnumdeal_model::{AuditRecord, Configuration, Verdict, Version};
use serde::{Deserialize, Serialize};

/// Length of changes in bytes from which they are compared with the whole configuration.
const MIN_COMPARED_BYTES: u64 = 64 * 1024;

/// Length of changes, as a multiple of that of the whole configuration, beyond which the whole is sent.
const MAX_CHANGES_RATIO: u64 = 2;

/// Configuration update for an entry instance. It leaves out the original texts of the items: only
/// control instances return them to operators.
///
/// # Examples
///
/// ```
/// use laburnumdeal_daemon::roles::ConfigurationUpdate;
/// use laburnumdeal_model::{Configuration, Version};
///
/// let newest = Configuration::default();
/// let update = ConfigurationUpdate::since(Version(0), &newest, |_| None);
/// assert_eq!(update, ConfigurationUpdate::Same);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationUpdate {
    /// The known version is the newest.
    Same,
    /// Changes after the known version.
    Changes(Vec<AuditRecord>),
    /// The whole configuration.
    Whole(Box<Configuration>),
}

impl ConfigurationUpdate {
    /// Returns the update from a known version to the newest one: the changes, or the whole
    /// configuration where that is much shorter. `changes` returns all changes after a version, or
    /// `None` when some are no longer stored.
    pub fn since(
        known: Version,
        newest: &Configuration,
        changes: impl FnOnce(Version) -> Option<Vec<AuditRecord>>,
    ) -> Self {
        if newest.version <= known {
            return Self::Same;
        }
        let stored = match known > Version(0) {
            true => changes(known),
            false => None,
        };
        let Some(mut stored) = stored else {
            return Self::whole(newest);
        };
        for applied in &mut stored {
            applied.change.clear_originals();
        }
        let length_bytes = encoded_bytes(&stored);
        let changes = Self::Changes(stored);
        if length_bytes < MIN_COMPARED_BYTES {
            return changes;
        }
        let whole = Self::whole(newest);
        match encoded_bytes(&whole) * MAX_CHANGES_RATIO < length_bytes {
            true => whole,
            false => changes,
        }
    }

    fn whole(newest: &Configuration) -> Self {
        let mut whole = newest.clone();
        whole.items = Arc::new(whole.items.without_originals());
        Self::Whole(Box::new(whole))
    }

    /// Returns the configuration after the update, if it is newer than the current one.
    pub fn apply_to(self, current: Option<&Configuration>) -> Option<Configuration> {
        let version = current.map_or(Version(0), |current| current.version);
        let next = match self {
            Self::Same => return None,
            Self::Whole(whole) => *whole,
            Self::Changes(changes) => replay_contiguous(current?, &changes),
        };
        (next.version > version).then_some(next)
    }
}

/// Applies the changes that follow a configuration, up to the first gap in the versions.
fn replay_contiguous(current: &Configuration, changes: &[AuditRecord]) -> Configuration {
    let mut next = current.clone();
    for applied in changes {
        let Verdict::Accepted { version } = applied.verdict else {
            continue;
        };
        if version <= next.version {
            continue;
        }
        if version != next.version.next() {
            break;
        }
        replay(&mut next, &applied.change, applied.at_ms, version);
    }
    next
}
