use serde::{Deserialize, Serialize};

/// Control instance as entry instances are told of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRecord {
    /// Address for other instances.
    pub address: String,
    /// Region; empty when it is not known.
    pub region: String,
}
