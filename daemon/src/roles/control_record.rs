use serde::{Deserialize, Serialize};

/// Address and region of a control instance, as sent to entry instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRecord {
    /// Address at which other instances reach it.
    pub address: String,
    /// Region; empty when it is unknown.
    pub region: String,
}
