use derive_more::Display;
use laburnumdeal_model::{RegionId, ServiceId};
use serde::{Deserialize, Serialize};

/// Identifies a cap by what it limits.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum CapKey {
    /// Requests that a region accepts. The instances of the region spend it.
    #[display("intake of region {_0}")]
    Region(RegionId),
    /// Bytes from one region to another. The instances of the first region spend it.
    #[display("link from region {_0} to region {_1}")]
    Link(RegionId, RegionId),
    /// Requests of a service that are served outside their home zone. Every instance may spend it.
    #[display("shift of service {_0}")]
    Shift(ServiceId),
}
