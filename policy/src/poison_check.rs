/// Decision on a request, by the upstream crashes that it was in flight at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonCheck {
    /// No crash is known; the request runs normally.
    Clear,
    /// A crash is known; the request runs on one upstream at a time, with no other suspect there.
    Suspect,
    /// More than one crash is known, the last one recently; the request is refused.
    Refused {
        /// Time after which the request may be sent again.
        retry_after_ms: u64,
    },
}
