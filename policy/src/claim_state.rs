use std::sync::Arc;

use laburnumdeal_model::BootId;
use tokio::sync::watch;

use crate::{ClaimResult, StoredAnswer};

/// Sender half that resends of a key wait on.
pub(crate) type FinishSender = Arc<watch::Sender<Option<ClaimResult>>>;

/// What one instance knows of a key.
#[derive(Debug)]
pub(crate) enum ClaimState {
    /// Claimed here as the home; no byte has left.
    Pending { serial: u64, sender: FinishSender },
    /// Sent, or about to be sent, to an upstream by this home.
    Started { serial: u64, sender: FinishSender },
    /// Claimed here as the mirror for a run of the home.
    Mirrored { home_boot: BootId },
    /// Never runs.
    Fenced,
    /// May have run; no answer is kept.
    Ran,
    /// Ran; the answer is kept under its place in the eviction order.
    Finished {
        answer: Arc<StoredAnswer>,
        order: u64,
    },
}

/// One key with what is known of it.
#[derive(Debug)]
pub(crate) struct ClaimEntry {
    pub fingerprint: u64,
    pub stamp_ms: u64,
    pub state: ClaimState,
}

impl ClaimState {
    /// Returns whether the request is in flight here.
    pub fn is_in_flight(&self) -> bool {
        matches!(self, Self::Pending { .. } | Self::Started { .. })
    }

    /// Returns whether this is the claim with the given serial, not started yet.
    pub fn is_pending(&self, wanted: u64) -> bool {
        matches!(self, Self::Pending { serial, .. } if *serial == wanted)
    }

    /// Returns whether this is the claim with the given serial, started.
    pub fn is_started(&self, wanted: u64) -> bool {
        matches!(self, Self::Started { serial, .. } if *serial == wanted)
    }
}
