use std::sync::Arc;

use laburnumdeal_model::BootId;
use tokio::sync::watch;

use crate::{ClaimResult, StoredAnswer};

/// Channel that reports the result of a request to the resends that wait for it.
pub(crate) type ResultSender = Arc<watch::Sender<Option<ClaimResult>>>;

/// State of a key on one instance.
#[derive(Debug)]
pub(crate) enum ClaimState {
    /// Claimed here as the home; nothing has been sent to an upstream.
    Pending { serial: u64, sender: ResultSender },
    /// Sent to an upstream, or about to be sent, by this instance as the home.
    Started { serial: u64, sender: ResultSender },
    /// Claimed here as the mirror, for the given run of the home.
    Mirrored { home_boot: BootId },
    /// Fenced: the request never runs.
    Fenced,
    /// The request may have run; no answer is stored.
    Ran,
    /// The request ran; `order` is the number of its answer in the eviction order.
    Finished {
        answer: Arc<StoredAnswer>,
        order: u64,
    },
}

/// Record of a key.
#[derive(Debug)]
pub(crate) struct ClaimEntry {
    pub fingerprint: u64,
    /// Issue time of the token, or time of the claim of a tokenless key; the lowest is evicted first.
    pub stamp_ms: u64,
    pub state: ClaimState,
}

impl ClaimState {
    /// Returns whether the request is in flight here.
    pub fn is_in_flight(&self) -> bool {
        matches!(self, Self::Pending { .. } | Self::Started { .. })
    }

    /// Returns whether this is the claim with the given serial number, not started yet.
    pub fn is_pending(&self, wanted: u64) -> bool {
        matches!(self, Self::Pending { serial, .. } if *serial == wanted)
    }

    /// Returns whether this is the claim with the given serial number, started.
    pub fn is_started(&self, wanted: u64) -> bool {
        matches!(self, Self::Started { serial, .. } if *serial == wanted)
    }
}
