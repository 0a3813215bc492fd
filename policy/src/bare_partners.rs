use std::collections::{HashMap, HashSet};

use laburnumdeal_model::{BootId, InstanceId};

use crate::TokenlessHistory;

/// What this run and the partners of its keys without a token know of each other.
#[derive(Debug)]
pub(crate) struct BarePartners {
    knows_all: bool,
    /// Partners whose records were adopted: every earlier claim of common keys is known.
    synced: HashSet<InstanceId>,
    /// Partners that also held all records of the earlier run: its fences are known too.
    complete: HashSet<InstanceId>,
    /// Last known runs of the partners.
    boots: HashMap<InstanceId, BootId>,
    /// Stopped runs of partners whose records are all here, with the time of their hand-over.
    stopped: HashMap<InstanceId, u64>,
    /// Runs of partners that followed a run whose records were all here.
    granted: HashMap<InstanceId, BootId>,
}

impl BarePartners {
    pub fn new(start: TokenlessHistory) -> Self {
        Self {
            knows_all: start == TokenlessHistory::Complete,
            synced: HashSet::new(),
            complete: HashSet::new(),
            boots: HashMap::new(),
            stopped: HashMap::new(),
            granted: HashMap::new(),
        }
    }

    /// Notes that another run may have followed this one.
    pub fn lapse(&mut self) {
        self.knows_all = false;
        self.synced.clear();
        self.complete.clear();
    }

    /// Notes that every record that this run does not know has expired.
    pub fn know_all(&mut self) {
        self.knows_all = true;
    }

    /// Returns whether no key can have been claimed or fenced without a record here.
    pub fn knows_all(&self) -> bool {
        self.knows_all
    }

    /// Returns whether every earlier claim of the keys shared with a partner is known.
    pub fn knows_claims(&self, partner: Option<InstanceId>) -> bool {
        self.knows_all || partner.is_some_and(|p| self.synced.contains(&p))
    }

    /// Returns whether every earlier claim and fence of the keys shared with a partner is known.
    pub fn knows_fences(&self, partner: Option<InstanceId>) -> bool {
        self.knows_all || partner.is_some_and(|p| self.complete.contains(&p))
    }

    /// Returns the last known run of a partner.
    pub fn boot(&self, partner: InstanceId) -> Option<BootId> {
        self.boots.get(&partner).copied()
    }

    /// Notes that the records of a partner were adopted.
    pub fn synced_from(&mut self, partner: InstanceId, is_complete: bool) {
        self.synced.insert(partner);
        if is_complete {
            self.complete.insert(partner);
        }
    }

    /// Notes that a run of a partner stopped and that all its records are here.
    ///
    /// A run that another has followed already is passed over.
    pub fn stopped(&mut self, partner: InstanceId, boot: BootId, now_ms: u64) {
        if self.boot(partner).is_none_or(|known| known == boot) {
            self.boots.insert(partner, boot);
            self.stopped.insert(partner, now_ms);
        }
    }

    /// Notes a new run of a partner, and returns whether all records of the run before it are here.
    pub fn restarted(&mut self, partner: InstanceId, boot: BootId, oldest_ms: u64) -> bool {
        let follows = self.boots.insert(partner, boot) != Some(boot);
        let stopped_ms = self.stopped.remove(&partner);
        if follows && stopped_ms.is_some_and(|at_ms| at_ms >= oldest_ms) {
            self.granted.insert(partner, boot);
        }
        self.granted.get(&partner) == Some(&boot)
    }
}
