use derive_more::{Display, Error};
use laburnumdeal_model::{ServiceId, ZoneId};

/// Error for a request from another zone that exceeds the limit of the current ramp step.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "service {service} takes more traffic of zone {home} step by step, come back in {retry_after_ms} ms"
)]
pub struct RampExceeded {
    /// Home zone of the traffic.
    pub home: ZoneId,
    /// Requested service.
    pub service: ServiceId,
    /// Time until the next step begins.
    pub retry_after_ms: u64,
}
