use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Target of a drain, by name.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Target {
    /// One upstream.
    #[display("upstream {_0}")]
    Upstream(String),
    /// Every upstream of an availability zone, and the callers that are steered to it.
    #[display("zone {_0}")]
    Zone(String),
    /// Every availability zone of a region.
    #[display("region {_0}")]
    Region(String),
}
