use laburnumdeal_model::BootId;
use serde::{Deserialize, Serialize};

use crate::UnknownReason;

/// Reply of the mirror to a claim by the home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MirrorReply {
    /// The key is claimed here for this run of the home.
    Claimed {
        /// Boot id of the mirror.
        mirror_boot: BootId,
    },
    /// The key is fenced here; the request never runs.
    Fenced,
    /// The key is already claimed here for another run of the home, or the request may have run.
    ClaimedByOther,
    /// This instance cannot tell whether the key may be claimed.
    Unknown(UnknownReason),
}
