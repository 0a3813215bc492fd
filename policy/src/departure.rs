use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Reason why an owner lost its upstreams without a hand-over.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Departure {
    /// Its process died or is out of reach.
    #[display("death")]
    Death,
    /// Its process was restarted.
    #[display("restart")]
    Restart,
    /// Its process was frozen for longer than the peer timeout.
    #[display("freeze")]
    Freeze,
}
