use crate::RegionId;

/// A one-way link between two regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    /// Region that sends over the link.
    pub from: RegionId,
    /// Region that receives over the link.
    pub to: RegionId,
    /// Capacity of the link, in bytes per second.
    pub bytes_per_s: u64,
}
