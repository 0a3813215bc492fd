use std::fmt;

use serde::{Deserialize, Serialize};

/// A customer: its keys, by which callers are recognized, and what holds for their requests.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerItem {
    /// Keys of the customer's callers. No other customer has them.
    pub api_keys: Vec<String>,
    /// Priority when capacity is short, in place of that of the route; 0 is the most urgent.
    pub priority: u32,
    /// Requests per second that all instances together let through, in thousandths; 0 for no limit.
    pub rate_milli_per_s: u64,
    /// Requests that may come at once on top of that.
    pub burst: u64,
    /// Regions that may serve the requests; empty for all.
    pub regions: Vec<String>,
}

/// Leaves the keys out, so that they reach no log.
impl fmt::Debug for CustomerItem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("CustomerItem");
        shown.field("api_keys", &self.api_keys.len());
        shown.field("priority", &self.priority);
        shown.field("rate_milli_per_s", &self.rate_milli_per_s);
        shown.field("burst", &self.burst);
        shown.field("regions", &self.regions).finish()
    }
}

impl CustomerItem {
    /// Returns why the values are invalid, without regard to other items.
    pub(crate) fn invalid_reason(&self) -> Option<&'static str> {
        let is_empty = self.api_keys.iter().any(String::is_empty);
        is_empty.then_some("a key is empty")
    }
}
