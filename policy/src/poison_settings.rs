/// Times and bounds of a poison table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoisonSettings {
    /// Time after its last crash in which a request is refused.
    pub refuse_ms: u64,
    /// Time after its last crash in which a request is remembered.
    pub remember_ms: u64,
    /// Time within which reports of a crash of one upstream are of the same crash.
    pub same_crash_ms: u64,
    /// Most requests remembered.
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
