use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

use laburnumdeal_policy::steer::LoadBalancerSettings;
use serde::{Deserialize, Serialize};

/// Settings of an instance whose peers come and go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the instance.
    pub instance: String,
    /// Address that it is reached at by other instances.
    pub address: IpAddr,
    /// Availability zone of the instance.
    pub zone: String,
    /// Region of the instance.
    pub region: String,
    /// Region of each availability zone.
    pub zone_regions: HashMap<String, String>,
    /// Where callers connect; only on entry instances.
    pub caller_address: Option<SocketAddr>,
    /// Where readiness is asked for.
    pub readiness_address: Option<SocketAddr>,
    /// Where metrics are read.
    pub metrics_address: Option<SocketAddr>,
    /// Port of control instances for other instances, TCP and UDP.
    pub peer_port: u16,
    /// Control instances that are known at the start.
    pub seeds: Vec<IpAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Folder of the change log; only on control instances.
    pub data_folder: Option<PathBuf>,
    /// Machines with a disk that may be lost at the same time.
    pub machines_lost: usize,
    /// Factor by which requests to a cold upstream may exceed what it tolerates.
    pub cold_overshoot: f64,
    /// Requests a second by which they may exceed it beside that.
    pub cold_slack: f64,
    /// Retries a request, over all instances.
    pub retry_ratio: f64,
    /// Retries beside that, over all instances, in a window.
    pub retry_slack: f64,
    /// Time from the signal to stop until the process is killed.
    pub stop_ms: u64,
    /// Calls a second that the list of upstreams accepts from all instances.
    pub list_calls_per_s: f64,
}

impl NodeSettings {
    /// Returns the address of a control instance for other instances.
    pub fn peer_address(&self, address: IpAddr) -> SocketAddr {
        SocketAddr::new(address, self.peer_port)
    }

    /// Returns the part that the choice of upstreams needs.
    pub fn book(&self) -> LoadBalancerSettings {
        LoadBalancerSettings {
            instance: self.instance.clone(),
            region: self.region.clone(),
            zone_regions: self.zone_regions.clone(),
            cold_overshoot: self.cold_overshoot,
            cold_slack: self.cold_slack,
        }
    }
}
