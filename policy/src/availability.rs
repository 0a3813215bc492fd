use crate::CandidateReason;

/// Open and free slots of one upstream, with the reason for the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Availability {
    /// Requests that it would accept now.
    pub free: u16,
    /// Requests of this instance that may run on it at the same time.
    pub open: u16,
    /// Purpose of a request that takes one of the free slots.
    pub purpose: SlotPurpose,
    /// Reason that is shown to operators.
    pub reason: CandidateReason,
}

/// Purpose of the request that takes a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotPurpose {
    /// Ordinary request.
    Work,
    /// Request that tests whether an ejected upstream has recovered.
    RecoveryProbe,
    /// Request beyond the free slots that the load reports leave, which tests the reports.
    ReportProbe,
}

impl Availability {
    /// Returns the availability of an upstream that accepts no requests.
    pub fn closed(reason: CandidateReason) -> Self {
        Self {
            free: 0,
            open: 0,
            purpose: SlotPurpose::Work,
            reason,
        }
    }
}
