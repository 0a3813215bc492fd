/// A customer without its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name of the customer.
    pub name: String,
    /// Priority of its requests, in place of that of their route; 0 is the most urgent.
    pub priority: u32,
    /// Requests per second that all instances together let through, in thousandths; 0 for no limit.
    pub rate_milli_per_s: u64,
    /// Requests that may come at once on top of that.
    pub burst: u64,
    /// Regions that may serve its requests; empty for all.
    pub regions: Vec<String>,
    /// Whether metrics show it by name. Only so many customers are shown, those with the highest
    /// rates.
    pub is_shown: bool,
}
