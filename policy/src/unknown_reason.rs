use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Reason why an instance does not know the state of a key.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnknownReason {
    /// The key belongs to another instance, or to another run of this one.
    #[display("the key belongs to another instance or to an earlier run of it")]
    OtherRun,
    /// Records of tokens as old as this one were evicted.
    #[display("records as old as the token were evicted")]
    BelowFloor,
    /// This run does not know the tokenless keys of earlier runs yet.
    #[display("this run does not know the earlier keys yet")]
    NotSynced,
    /// The instance is stopping and has handed its claims over.
    #[display("the instance has handed its claims over and stops")]
    Stopped,
    /// The limit on records of tokenless keys is reached.
    #[display("no room for a further key without a token")]
    Full,
}
