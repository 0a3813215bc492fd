use std::collections::{BTreeSet, VecDeque};

use laburnumdeal_model::{InstanceId, Term};

/// Calls remembered in one term.
const CALLS_KEPT: usize = 16_384;

/// Submissions that were passed on to this replica while it led its newest term. A call that the
/// network delivers twice is carried out once, and "not run" is said of no call that was.
#[derive(Debug, Default)]
pub(crate) struct CallsSeen {
    term: Option<Term>,
    calls: BTreeSet<(InstanceId, u64)>,
    order: VecDeque<(InstanceId, u64)>,
}

/// What is known of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Seen {
    /// The call is new, and this replica leads its term.
    New,
    /// No copy of the call was or will be carried out.
    Never,
    /// A copy may have been carried out.
    Perhaps,
}

impl CallsSeen {
    /// Starts a term that this replica leads.
    pub fn start(&mut self, term: Term) {
        *self = Self {
            term: Some(term),
            ..Self::default()
        };
    }

    /// Notes a call to the leader of `term`; `leads` says whether this replica still is.
    pub fn note(&mut self, term: Term, leads: bool, call: (InstanceId, u64)) -> Seen {
        if self.term != Some(term) || self.calls.contains(&call) {
            return Seen::Perhaps;
        }
        if !leads {
            return Seen::Never;
        }
        self.calls.insert(call);
        self.order.push_back(call);
        if self.order.len() > CALLS_KEPT
            && let Some(oldest) = self.order.pop_front()
        {
            self.calls.remove(&oldest);
        }
        Seen::New
    }
}
