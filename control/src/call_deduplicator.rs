use std::collections::{BTreeSet, VecDeque};

use laburnumdeal_model::{InstanceId, Term};

/// Maximum number of calls remembered in one term.
const MAX_CALLS: usize = 16_384;

/// Remembers the submissions forwarded to this replica in the newest term that it led. A call that
/// the network delivers twice runs only once, and no call that may have run is answered "not run".
#[derive(Debug, Default)]
pub(crate) struct CallDeduplicator {
    term: Option<Term>,
    calls: BTreeSet<(InstanceId, u64)>,
    order: VecDeque<(InstanceId, u64)>,
}

/// What is known about a forwarded call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallStatus {
    /// The call is new, and this replica leads its term.
    New,
    /// No copy of the call has run or will run.
    NotRun,
    /// A copy of the call may have run.
    MaybeRun,
}

impl CallDeduplicator {
    /// Forgets earlier calls at the start of a term that this replica leads.
    pub fn start_term(&mut self, term: Term) {
        *self = Self {
            term: Some(term),
            ..Self::default()
        };
    }

    /// Registers a call to the leader of `term`; `is_leader` tells whether this replica still leads
    /// that term.
    pub fn register(&mut self, term: Term, is_leader: bool, call: (InstanceId, u64)) -> CallStatus {
        if self.term != Some(term) || self.calls.contains(&call) {
            return CallStatus::MaybeRun;
        }
        if !is_leader {
            return CallStatus::NotRun;
        }
        self.calls.insert(call);
        self.order.push_back(call);
        if self.order.len() > MAX_CALLS
            && let Some(oldest) = self.order.pop_front()
        {
            self.calls.remove(&oldest);
        }
        CallStatus::New
    }
}
