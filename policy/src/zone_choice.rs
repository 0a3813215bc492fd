use laburnumdeal_model::ZoneId;
use serde::{Deserialize, Serialize};

use crate::{CapKey, ZoneReason};

/// A zone that a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneChoice {
    /// Availability zone.
    pub zone: ZoneId,
    /// Reason for its rank.
    pub reason: ZoneReason,
    /// Whether the request would be served outside its home zone, which spends the shift cap.
    pub is_shift: bool,
    /// Link cap that the request's bytes are spent on when it leaves the region.
    pub link: Option<CapKey>,
}
