use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What the platform's list says of an instance. The list lags.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformState {
    /// The instance runs.
    #[display("live")]
    Live,
    /// The instance is about to be stopped.
    #[display("leaving")]
    Leaving,
    /// The instance was on the list and is no longer.
    #[display("gone")]
    Gone,
}
