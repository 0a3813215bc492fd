use laburnumdeal_model::BootId;
use serde::{Deserialize, Serialize};

use crate::claim_state::{ClaimEntry, ClaimState};
use crate::{KeyId, StoredAnswer};

/// Record of a key as sent to another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Key of the request.
    pub key: KeyId,
    /// Hash of method, path and body.
    pub fingerprint: u64,
    /// Time when the token was issued; for a tokenless key, the time of the record on the sender.
    pub stamp_ms: u64,
    /// State of the request.
    pub state: RecordState,
}

/// State of a request in a [`ClaimRecord`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// Claimed for a run of the home; the request may run.
    Claimed {
        /// Run of the home.
        home_boot: BootId,
    },
    /// Fenced: the request never runs.
    Fenced,
    /// The request may have run; no answer is stored.
    Ran,
    /// The request ran and was answered.
    Finished(StoredAnswer),
}

/// Returns the record of a key as sent to another instance.
///
/// `boot` is the run of the home that claims in flight belong to.
pub(crate) fn record_of(key: KeyId, entry: &ClaimEntry, boot: BootId) -> ClaimRecord {
    let state = match &entry.state {
        ClaimState::Pending { .. } | ClaimState::Started { .. } => {
            RecordState::Claimed { home_boot: boot }
        }
        ClaimState::Mirrored { home_boot } => RecordState::Claimed {
            home_boot: *home_boot,
        },
        ClaimState::Fenced => RecordState::Fenced,
        ClaimState::Ran => RecordState::Ran,
        ClaimState::Finished { answer, .. } => RecordState::Finished(StoredAnswer::clone(answer)),
    };
    ClaimRecord {
        key,
        fingerprint: entry.fingerprint,
        stamp_ms: entry.stamp_ms,
        state,
    }
}
