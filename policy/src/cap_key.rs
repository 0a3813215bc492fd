use derive_more::Display;
use laburnumdeal_model::{RegionId, ServiceId};
use serde::{Deserialize, Serialize};

/// What a cap limits.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum CapKey {
    /// Requests that a region takes in, spent by the region's instances.
    #[display("intake of region {_0}")]
    Region(RegionId),
    /// Bytes from one region to another, spent by the instances of the first.
    #[display("link from region {_0} to region {_1}")]
    Link(RegionId, RegionId),
    /// Requests of a service that are served away from their home zone, spent by every instance.
    #[display("shift of service {_0}")]
    Shift(ServiceId),
}
