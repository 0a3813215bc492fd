/// One region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Region {
    /// Name, unique among regions.
    pub name: String,
    /// Requests that the region can take in, per second.
    pub intake_per_s: u64,
}
