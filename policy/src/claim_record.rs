use laburnumdeal_model::BootId;
use serde::{Deserialize, Serialize};

use crate::claim_state::{ClaimEntry, ClaimState};
use crate::{KeyId, StoredAnswer};

/// What is told of a key when its record moves to another instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Key of the request.
    pub key: KeyId,
    /// Hash of method, path and body.
    pub fingerprint: u64,
    /// Stamp of the token.
    pub stamp_ms: u64,
    /// What became of the request.
    pub state: RecordState,
}

/// What became of a request whose record moves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// Claimed for a run of the home; may run.
    Claimed {
        /// Run of the home.
        home_boot: BootId,
    },
    /// Never runs.
    Fenced,
    /// May have run; no answer is kept.
    Ran,
    /// Ran; this is its answer.
    Finished(StoredAnswer),
}

/// Returns the record of a key as told to another instance.
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
