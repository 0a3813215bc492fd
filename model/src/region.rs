/// A region and the rate of requests that it can take in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Region {
    /// Name, unique among regions.
    pub name: String,
    /// Maximum rate of requests that the region can take in, per second.
    pub intake_per_s: u64,
}
