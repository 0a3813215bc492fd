use crate::RegionId;

/// One link between two regions, one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    /// Region that sends.
    pub from: RegionId,
    /// Region that receives.
    pub to: RegionId,
    /// Bytes that the link carries, per second.
    pub bytes_per_s: u64,
}
