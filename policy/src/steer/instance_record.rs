use std::net::IpAddr;

use serde::{Deserialize, Serialize};

/// Entry instance that may send requests to upstreams.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Name of the instance.
    pub name: String,
    /// Region of the instance.
    pub region: String,
    /// Address at which other instances reach it; `None` if it is not known.
    pub address: Option<IpAddr>,
}
