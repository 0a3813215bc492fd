use crate::RegionId;

/// One availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Name, unique among availability zones.
    pub name: String,
    /// Region that it lies in.
    pub region: RegionId,
}
