use laburnumdeal_model::ZoneId;
use serde::{Deserialize, Serialize};

use crate::{CapKey, ZoneReason};

/// One zone that a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneChoice {
    /// Availability zone.
    pub zone: ZoneId,
    /// Why it has its place in the order.
    pub reason: ZoneReason,
    /// Whether the request is served away from its home zone and spends a shift share.
    pub is_shift: bool,
    /// Link that the request's bytes are spent on, when it leaves the region.
    pub link: Option<CapKey>,
}
