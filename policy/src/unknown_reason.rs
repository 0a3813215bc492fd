use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Reason why an instance cannot tell what became of a key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The key belongs to another instance, or to another run of this one.
    #[display("the key belongs to another instance or to an earlier run of it")]
    OtherRun,
    /// Records as old as the token were evicted.
    #[display("records as old as the token were evicted")]
    BelowFloor,
    /// This run does not know the earlier keys without a token yet.
    #[display("this run does not know the earlier keys yet")]
    NotSynced,
    /// The instance has handed its claims over and stops.
    #[display("the instance has handed its claims over and stops")]
    Stopped,
    /// No room for a further key without a token.
    #[display("no room for a further key without a token")]
    Full,
}
