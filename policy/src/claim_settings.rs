use laburnumdeal_model::{BootId, InstanceId, ZoneId};

/// Settings of the claim table of one run of an instance.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// This instance.
    pub me: InstanceId,
    /// This run of the instance.
    pub boot: BootId,
    /// Most records kept for keys with a token.
    pub record_limit: usize,
    /// Most records kept for keys without a token.
    pub tokenless_record_limit: usize,
    /// Most memory taken by stored answers.
    pub answer_budget_bytes: usize,
    /// Longest time after its first send in which a caller sends a key without a token again.
    pub resend_horizon_ms: u64,
    /// Configured instances with their zones, for keys without a token.
    pub members: Vec<(InstanceId, ZoneId)>,
    /// What this run knows of earlier keys without a token.
    pub tokenless_history: TokenlessHistory,
}

/// What a new run of an instance knows of earlier keys without a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenlessHistory {
    /// Earlier runs may have claimed or fenced keys that this run does not know.
    Unknown,
    /// No earlier run took a key, or all its records are on this instance.
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
