/// Sizes of a claim table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimStats {
    /// Records of keys with and without a token, handed over ones included.
    pub records: usize,
    /// Memory of the stored answers.
    pub answer_bytes: usize,
    /// Highest stamp of a token of this run whose record was evicted.
    pub floor_ms: Option<u64>,
    /// Runs of other instances that this one answers for.
    pub imported_runs: usize,
}
