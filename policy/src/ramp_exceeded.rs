use derive_more::{Display, Error};
use laburnumdeal_model::{ServiceId, ZoneId};

/// Reports that traffic from another zone grows as fast as cold caches allow.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "service {service} takes more traffic of zone {home} step by step, come back in {retry_after_ms} ms"
)]
pub struct RampExceeded {
    /// Home zone of the traffic.
    pub home: ZoneId,
    /// Service.
    pub service: ServiceId,
    /// Time until the next step.
    pub retry_after_ms: u64,
}
