use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Topology as written in a settings file; entries refer to each other by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TopologySettings {
    /// Regions.
    pub regions: Vec<RegionSettings>,
    /// Availability zones.
    pub zones: Vec<ZoneSettings>,
    /// Entry instances.
    pub instances: Vec<InstanceSettings>,
    /// Services.
    pub services: Vec<ServiceSettings>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamSettings>,
    /// Links between regions.
    #[serde(default)]
    pub links: Vec<LinkSettings>,
}

/// One region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionSettings {
    /// Name, unique among regions.
    pub name: String,
    /// Requests that the region can take in, per second.
    pub intake_per_s: u64,
}

/// One availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSettings {
    /// Name, unique among availability zones.
    pub name: String,
    /// Region that it lies in.
    pub region: String,
}

/// One entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name, unique among instances.
    pub name: String,
    /// Availability zone that it stands in.
    pub zone: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Address for operators, health and metrics.
    pub operator_address: SocketAddr,
    /// Whether the instance is a replica of the change log; it needs a data folder then.
    #[serde(default)]
    pub control: bool,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name, unique among services.
    pub name: String,
    /// Whether every request of the service may run more than once, whatever its method.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether requests that are not idempotent must carry a key.
    #[serde(default)]
    pub requires_key: bool,
    /// Time a request may take when the caller names none.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Longest request body.
    #[serde(default = "default_body_bytes")]
    pub max_request_bytes: u64,
    /// Longest answer body.
    #[serde(default = "default_body_bytes")]
    pub max_answer_bytes: u64,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Name, unique among upstreams.
    pub name: String,
    /// Service that it runs.
    pub service: String,
    /// Availability zone that it stands in.
    pub zone: String,
    /// Address for requests, health and load.
    pub address: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u16,
    /// Connections that it takes at the same time.
    #[serde(default = "default_connections")]
    pub connections: u16,
}

/// One link between two regions, one way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// Region that sends.
    pub from: String,
    /// Region that receives.
    pub to: String,
    /// Bytes that the link carries, per second.
    pub bytes_per_s: u64,
}

fn default_deadline_ms() -> u64 {
    10_000
}

fn default_body_bytes() -> u64 {
    8 * 1024 * 1024
}

fn default_connections() -> u16 {
    330
}
