use crate::RegionId;

/// An availability zone of a region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Name, unique among availability zones.
    pub name: String,
    /// Region that the zone belongs to.
    pub region: RegionId,
}
