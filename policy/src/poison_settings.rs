/// Settings of a poison table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonSettings {
    /// Time for which a request is refused after its last crash.
    pub refuse_ms: u64,
    /// Time for which a request is remembered after its last crash.
    pub remember_ms: u64,
    /// Time within which reports of crashes of one upstream count as one crash.
    pub same_crash_ms: u64,
    /// Maximum number of requests remembered.
    pub mark_limit: usize,
}

impl Default for PoisonSettings {
    fn default() -> Self {
        Self {
            refuse_ms: 60_000,
            remember_ms: 600_000,
            same_crash_ms: 2_000,
            mark_limit: 10_000,
        }
    }
}
