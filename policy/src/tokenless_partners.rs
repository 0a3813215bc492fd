use std::collections::{HashMap, HashSet};

use laburnumdeal_model::{BootId, InstanceId};

use crate::TokenlessHistory;

/// Which partners have exchanged their records of tokenless keys with this run, and in which of their runs.
///
/// A partner is an instance that shares tokenless keys with this one: one of the two is the home, the
/// other the mirror.
#[derive(Debug)]
pub(crate) struct TokenlessPartners {
    /// Whether no key can have been claimed or fenced without a record here.
    knows_all: bool,
    /// Partners whose records were added here: every earlier claim of the shared keys is known.
    claims_known: HashSet<InstanceId>,
    /// Subset of `claims_known` that also had all records of the earlier run: its fences are known too.
    fences_known: HashSet<InstanceId>,
    /// Last known run of each partner.
    boots: HashMap<InstanceId, BootId>,
    /// Partners whose stopped run handed all its records over, with the time of the hand-over.
    stopped: HashMap<InstanceId, u64>,
    /// Runs of partners that directly followed a run whose records were all here.
    complete_after_stop: HashMap<InstanceId, BootId>,
}

impl TokenlessPartners {
    pub fn new(history: TokenlessHistory) -> Self {
        Self {
            knows_all: history == TokenlessHistory::Complete,
            claims_known: HashSet::new(),
            fences_known: HashSet::new(),
            boots: HashMap::new(),
            stopped: HashMap::new(),
            complete_after_stop: HashMap::new(),
        }
    }

    /// Discards what is known of earlier keys, because another run may have replaced this one meanwhile.
    pub fn invalidate(&mut self) {
        self.knows_all = false;
        self.claims_known.clear();
        self.fences_known.clear();
    }

    /// Records that every record unknown to this run has expired.
    pub fn set_all_known(&mut self) {
        self.knows_all = true;
    }

    /// Returns whether no key can have been claimed or fenced without a record here.
    pub fn knows_all(&self) -> bool {
        self.knows_all
    }

    /// Returns whether every earlier claim of the keys shared with the partner is known.
    pub fn knows_claims(&self, partner: Option<InstanceId>) -> bool {
        self.knows_all || partner.is_some_and(|p| self.claims_known.contains(&p))
    }

    /// Returns whether every earlier claim and fence of the keys shared with the partner is known.
    pub fn knows_fences(&self, partner: Option<InstanceId>) -> bool {
        self.knows_all || partner.is_some_and(|p| self.fences_known.contains(&p))
    }

    /// Returns the last known run of a partner.
    pub fn boot(&self, partner: InstanceId) -> Option<BootId> {
        self.boots.get(&partner).copied()
    }

    /// Records that the records of a partner were added here.
    pub fn record_sync(&mut self, partner: InstanceId, is_complete: bool) {
        self.claims_known.insert(partner);
        if is_complete {
            self.fences_known.insert(partner);
        }
    }

    /// Records that a run of a partner stopped and handed all its records over.
    ///
    /// Ignored when a later run of the partner is already known.
    pub fn record_stop(&mut self, partner: InstanceId, boot: BootId, now_ms: u64) {
        if self.boot(partner).is_none_or(|known| known == boot) {
            self.boots.insert(partner, boot);
            self.stopped.insert(partner, now_ms);
        }
    }

    /// Records the current run of a partner and returns whether all records of its previous run are here.
    ///
    /// A hand-over that arrived before `oldest_ms` does not count. A repeated call for the same run returns
    /// the same result.
    pub fn record_restart(&mut self, partner: InstanceId, boot: BootId, oldest_ms: u64) -> bool {
        let follows = self.boots.insert(partner, boot) != Some(boot);
        let stopped_ms = self.stopped.remove(&partner);
        if follows && stopped_ms.is_some_and(|at_ms| at_ms >= oldest_ms) {
            self.complete_after_stop.insert(partner, boot);
        }
        self.complete_after_stop.get(&partner) == Some(&boot)
    }
}
