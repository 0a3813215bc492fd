use derive_more::Display;
use serde::{Deserialize, Serialize};

/// How an owner lost its upstreams without a hand-over.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Departure {
    /// Its process died or is out of reach.
    #[display("death")]
    Death,
    /// Its process was started anew.
    #[display("restart")]
    Restart,
    /// Its process was frozen for longer than peers wait.
    #[display("freeze")]
    Freeze,
}
