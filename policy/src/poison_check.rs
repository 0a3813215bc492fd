/// What may be done with a request that was in flight when an upstream crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoisonCheck {
    /// No crash is known; it runs like any other.
    Clear,
    /// One crash is known; it runs on one upstream at a time, with no other suspect there.
    Suspect,
    /// Crashes of more than one upstream are known; it is refused for a time.
    Refused {
        /// Time after which it may be sent again.
        retry_after_ms: u64,
    },
}
