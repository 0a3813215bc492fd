use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State of an instance in the platform's list. The list may be out of date.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlatformState {
    /// The instance is running.
    #[display("live")]
    Live,
    /// The instance is about to be stopped.
    #[display("leaving")]
    Leaving,
    /// The instance was on the list before and is not any more.
    #[display("gone")]
    Gone,
}
