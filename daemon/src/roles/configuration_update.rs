use std::sync::Arc;

use laburnumdeal_control::replay;
use laburnumdeal_model::{Applied, Configuration, Verdict, Version};
use serde::{Deserialize, Serialize};

/// Newer configuration for an entry instance. It leaves out the texts that operators wrote, which
/// only control instances give back.
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
    /// There is none.
    Same,
    /// Changes since the version that was known.
    Changes(Vec<Applied>),
    /// All of it.
    Whole(Box<Configuration>),
}

impl ConfigurationUpdate {
    /// Returns what is newer than a version that is known. `changes` returns the changes after a
    /// version, where all of them are kept.
    pub fn since(
        known: Version,
        newest: &Configuration,
        changes: impl FnOnce(Version) -> Option<Vec<Applied>>,
    ) -> Self {
        if newest.version <= known {
            return Self::Same;
        }
        let kept = match known > Version(0) {
            true => changes(known),
            false => None,
        };
        match kept {
            Some(mut kept) => {
                for applied in &mut kept {
                    applied.change.drop_texts();
                }
                Self::Changes(kept)
            }
            None => {
                let mut whole = newest.clone();
                whole.items = Arc::new(whole.items.without_texts());
                Self::Whole(Box::new(whole))
            }
        }
    }

    /// Returns the configuration after the update, if it is newer than the one held.
    pub fn apply_to(self, held: Option<&Configuration>) -> Option<Configuration> {
        let version = held.map_or(Version(0), |held| held.version);
        let next = match self {
            Self::Same => return None,
            Self::Whole(whole) => *whole,
            Self::Changes(changes) => replayed(held?, &changes),
        };
        (next.version > version).then_some(next)
    }
}

/// Makes the changes that follow a version, up to the first that is missing.
fn replayed(held: &Configuration, changes: &[Applied]) -> Configuration {
    let mut next = held.clone();
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
