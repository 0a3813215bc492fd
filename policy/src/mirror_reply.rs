use laburnumdeal_model::BootId;
use serde::{Deserialize, Serialize};

use crate::UnknownReason;

/// Answer of the mirror to a claim by the home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MirrorReply {
    /// The key is claimed here for this run of the home.
    Claimed {
        /// Run of the instance that claimed.
        mirror_boot: BootId,
    },
    /// The key is fenced here and never runs.
    Fenced,
    /// Another run of the home claimed the key here.
    ClaimedByOther,
    /// This instance cannot claim for the pair.
    Unknown(UnknownReason),
}
