use crate::CandidateReason;

/// SlotCounts of one upstream and why it is so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Standing {
    /// Requests that it would take now.
    pub free: u16,
    /// Own requests that may run there at the same time.
    pub open: u16,
    /// What a grant of one of the free slots is for.
    pub use_of: SlotUse,
    /// Reason for operators.
    pub reason: CandidateReason,
}

/// What a slot would be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotUse {
    /// Ordinary work.
    Work,
    /// A request that finds out whether a failing upstream is back.
    ReturnProbe,
    /// A request beyond what the reports leave room for.
    ReportProbe,
}

impl Standing {
    /// Returns the standing of an upstream that takes nothing.
    pub fn closed(reason: CandidateReason) -> Self {
        Self {
            free: 0,
            open: 0,
            use_of: SlotUse::Work,
            reason,
        }
    }
}
