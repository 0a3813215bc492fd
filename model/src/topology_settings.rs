use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Topology as written in a settings file. Entries refer to each other by name.
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

/// Settings of a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RegionSettings {
    /// Name, unique among regions.
    pub name: String,
    /// Maximum rate of requests that the region can take in, per second.
    pub intake_per_s: u64,
}

/// Settings of an availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSettings {
    /// Name, unique among availability zones.
    pub name: String,
    /// Region that the zone belongs to.
    pub region: String,
}

/// Settings of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name, unique among instances.
    pub name: String,
    /// Availability zone that the instance runs in.
    pub zone: String,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that other instances connect to.
    pub peer_address: SocketAddr,
    /// Address of the operator interface, health checks and metrics.
    pub operator_address: SocketAddr,
    /// Whether the instance is a control replica, which stores the replicated log of changes and
    /// needs a data folder for it.
    #[serde(default)]
    pub control: bool,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name, unique among services.
    pub name: String,
    /// Whether every request of the service may run more than once, whatever its HTTP method.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether requests that are not idempotent must carry a key.
    #[serde(default)]
    pub requires_key: bool,
    /// Time that a request may take when its caller sets no deadline.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Maximum length of a request body.
    #[serde(default = "default_body_bytes")]
    pub max_request_bytes: u64,
    /// Maximum length of an answer body.
    #[serde(default = "default_body_bytes")]
    pub max_answer_bytes: u64,
}

/// Settings of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// Name, unique among upstreams.
    pub name: String,
    /// Service that the upstream runs.
    pub service: String,
    /// Availability zone that the upstream runs in.
    pub zone: String,
    /// Address for requests, health checks and load reports.
    pub address: SocketAddr,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u16,
    /// Maximum number of connections that the upstream accepts at the same time.
    #[serde(default = "default_connections")]
    pub connections: u16,
}

/// Settings of a one-way link between two regions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkSettings {
    /// Region that sends over the link.
    pub from: String,
    /// Region that receives over the link.
    pub to: String,
    /// Capacity of the link, in bytes per second.
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
