use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What an upstream says about itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Takes work.
    #[display("ready")]
    Ready,
    /// Takes work, but its caches are cold.
    #[display("cold")]
    Cold,
    /// Finishes its work and stops.
    #[display("leaving")]
    Leaving,
    /// Believes that its requests would fail.
    #[display("failing")]
    Failing,
}
