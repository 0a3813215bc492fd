use laburnumdeal_model::{BootId, InstanceId, ZoneId};

/// Settings of the claim table of one run of an instance.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// This instance.
    pub me: InstanceId,
    /// This run of the instance.
    pub boot: BootId,
    /// Maximum number of records of keys with a token.
    pub record_limit: usize,
    /// Maximum number of records of tokenless keys.
    pub tokenless_record_limit: usize,
    /// Maximum memory used by stored answers, in bytes.
    pub answer_budget_bytes: usize,
    /// Maximum time after the first send within which a caller may resend a tokenless key.
    pub resend_horizon_ms: u64,
    /// Configured instances with their zones, among which home and mirror of tokenless keys are chosen.
    pub members: Vec<(InstanceId, ZoneId)>,
    /// Whether this run knows the tokenless keys of earlier runs.
    pub tokenless_history: TokenlessHistory,
}

/// Whether a new run of an instance knows the tokenless keys of earlier runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenlessHistory {
    /// Earlier runs may have claimed or fenced keys that are unknown to this run.
    Unknown,
    /// No earlier run claimed or fenced a key, or all its records are on this instance.
    Complete,
}

impl ClaimSettings {
    /// Returns settings with the default limits.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_model::{BootId, InstanceId};
    /// use laburnumdeal_policy::{ClaimSettings, ClaimTable};
    ///
    /// let table = ClaimTable::new(ClaimSettings::new(InstanceId(1), BootId(70)));
    /// assert_eq!(table.stats().records, 0);
    /// ```
    pub fn new(me: InstanceId, boot: BootId) -> Self {
        Self {
            me,
            boot,
            record_limit: 300_000,
            tokenless_record_limit: 100_000,
            answer_budget_bytes: 64 << 20,
            resend_horizon_ms: 600_000,
            members: Vec::new(),
            tokenless_history: TokenlessHistory::Unknown,
        }
    }
}
