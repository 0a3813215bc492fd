use serde::{Deserialize, Serialize};

use crate::{CapKey, GrantId};

/// Message with which a borrower returns a grant before it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReturn {
    /// Returned grant.
    pub id: GrantId,
    /// Cap that the lent share belongs to.
    pub key: CapKey,
}
