use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Reason why a zone is or is not a candidate for a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneReason {
    /// Home zone of the caller for this service.
    #[display("home zone")]
    Home,
    /// Zone of this instance. Its free slots are known exactly, because the instances of the zone
    /// own its upstreams.
    #[display("own zone, room known exactly")]
    Own,
    /// The last reported load shows free slots.
    #[display("{free} slots free {age_ms} ms ago")]
    HasRoom {
        /// Free slots.
        free: u32,
        /// Age of the reported load.
        age_ms: u64,
    },
    /// There is no recent report of its load.
    #[display("room unknown")]
    RoomUnknown,
    /// The last reported load shows no free slot; ranked after zones that may have some.
    #[display("full {age_ms} ms ago")]
    Full {
        /// Age of the reported load.
        age_ms: u64,
    },
    /// A drain moved this caller away; ranked last among the candidates.
    #[display("drain moved {moved_permille}/1000 of its callers")]
    Moved {
        /// Thousandths of the zone's callers that have moved.
        moved_permille: u16,
    },
    /// A drain moved all callers away.
    #[display("drained")]
    Drained,
    /// The zone has no allowed upstream of the service.
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

    /// Returns the rank among candidates; lower ranks are tried first.
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
