use derive_more::Display;
use serde::{Deserialize, Serialize};

/// State that an upstream reports about itself.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Accepts requests.
    #[display("ready")]
    Ready,
    /// Accepts requests, but its caches are cold.
    #[display("cold")]
    Cold,
    /// Finishes its requests in flight, then stops.
    #[display("leaving")]
    Leaving,
    /// Expects that its requests would fail.
    #[display("failing")]
    Failing,
}
