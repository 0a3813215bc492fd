use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Why a zone is, or is not, a candidate for a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneReason {
    /// Home zone of the caller for this service.
    #[display("home zone")]
    Home,
    /// Zone of this instance, whose owners know its room.
    #[display("own zone, room known exactly")]
    Own,
    /// Its last digest shows free slots.
    #[display("{free} slots free {age_ms} ms ago")]
    HasRoom {
        /// Free slots.
        free: u32,
        /// Age of the digest.
        age_ms: u64,
    },
    /// No recent digest, so its room is unknown.
    #[display("room unknown")]
    RoomUnknown,
    /// Its last digest shows no free slot; tried last.
    #[display("full {age_ms} ms ago")]
    Full {
        /// Age of the digest.
        age_ms: u64,
    },
    /// A drain moved this caller away; tried last.
    #[display("drain moved {moved_permille}/1000 of its callers")]
    Moved {
        /// Thousandths of the zone's callers that have moved.
        moved_permille: u16,
    },
    /// A drain moved all callers away.
    #[display("drained")]
    Drained,
    /// No allowed upstream of the service stands there.
    #[display("runs no allowed upstream of the service")]
    NotRunning,
    /// None of its entry instances can be reached.
    #[display("out of reach")]
    OutOfReach,
}

impl ZoneReason {
    /// Returns whether a request may be sent to the zone.
    pub fn is_candidate(self) -> bool {
        !matches!(self, Self::Drained | Self::NotRunning | Self::OutOfReach)
    }

    /// Returns the place among candidates: lower is tried first.
    pub fn rank(self) -> u8 {
        match self {
            Self::Home => 0,
            Self::Own | Self::HasRoom { .. } | Self::RoomUnknown => 1,
            Self::Full { .. } => 2,
            Self::Moved { .. } => 3,
            Self::Drained | Self::NotRunning | Self::OutOfReach => 4,
        }
    }
}
