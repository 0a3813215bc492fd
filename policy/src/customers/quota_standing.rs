use std::time::Duration;

/// What an instance has of the quota of a customer, in requests in any window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaStanding {
    /// Limit over all instances.
    pub limit: u32,
    /// Share of this instance.
    pub share: u32,
    /// Requests that count against the limit for it.
    pub held: u32,
    /// Requests that it wants a share for.
    pub wanted: u32,
    /// Time since the share was asked for; `None` if there never was one.
    pub age: Option<Duration>,
}

impl QuotaStanding {
    /// Returns what the instance has of two quotas together, as old as the older one.
    pub fn plus(self, other: Self) -> Self {
        Self {
            limit: self.limit.saturating_add(other.limit),
            share: self.share.saturating_add(other.share),
            held: self.held.saturating_add(other.held),
            wanted: self.wanted.saturating_add(other.wanted),
            age: self.age.max(other.age),
        }
    }
}
