use serde::{Deserialize, Serialize};

use crate::{CapKey, GrantId};

/// Message by which a borrower returns a grant before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReturn {
    /// Grant that is returned.
    pub id: GrantId,
    /// Cap that it is a part of.
    pub key: CapKey,
}
