use laburnumdeal_model::InstanceId;
use serde::{Deserialize, Serialize};

use crate::{CapKey, GrantId};

/// Part of a share that one instance lends to another for a limited time. A later grant of the same
/// lender replaces the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Identifier of the grant.
    pub id: GrantId,
    /// Cap that the lent share belongs to.
    pub key: CapKey,
    /// Lender.
    pub from: InstanceId,
    /// Borrower.
    pub to: InstanceId,
    /// Amount that the borrower may spend per second in addition to its own share.
    pub amount_per_s: u64,
    /// The whole cap as the lender knows it. A borrower that knows another cap ignores the grant.
    pub cap_per_s: u64,
    /// Time for which the borrower may use the grant, counted from when it sent its request.
    pub expires_after_ms: u64,
}
