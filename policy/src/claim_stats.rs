/// Sizes of a claim table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimStats {
    /// Records of keys with and without a token, including imported ones.
    pub records: usize,
    /// Memory used by stored answers, in bytes.
    pub answer_bytes: usize,
    /// Highest issue time of a token of this run whose record was evicted.
    pub floor_ms: Option<u64>,
    /// Runs of other instances that this instance is responsible for.
    pub imported_runs: usize,
}
