use laburnumdeal_model::InstanceId;
use serde::{Deserialize, Serialize};

use crate::{CapKey, GrantId};

/// Part of a share that one instance lends to another for a time. A later grant of the same lender
/// takes the place of the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Identity.
    pub id: GrantId,
    /// Cap that it is a part of.
    pub key: CapKey,
    /// Instance that lends.
    pub from: InstanceId,
    /// Instance that borrows.
    pub to: InstanceId,
    /// Amount that the borrower may spend on top of its own share, per second.
    pub amount_per_s: u64,
    /// The whole cap as the lender knew it; a borrower that knows another uses nothing.
    pub cap_per_s: u64,
    /// Time that the borrower may use it, counted from when it sent its ask.
    pub expires_after_ms: u64,
}
