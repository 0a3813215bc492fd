use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use laburnumdeal_policy::customers::QuotaSettings;
use laburnumdeal_policy::steer::{LinkCapacity, LoadBalancerSettings};
use serde::{Deserialize, Serialize};

/// Fraction of the stop time for which new requests are still served: callers may have cached the
/// address of the instance.
const SERVE_FRACTION: f64 = 0.6;

/// Settings of an entry or control instance in a deployment whose instances come and go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the instance.
    pub instance: String,
    /// Address at which other instances reach it.
    pub address: IpAddr,
    /// Availability zone of the instance.
    pub zone: String,
    /// Region of the instance.
    pub region: String,
    /// Region of each availability zone.
    pub zone_regions: HashMap<String, String>,
    /// Address that callers connect to; only on entry instances.
    pub caller_address: Option<SocketAddr>,
    /// Address of the readiness page; `None` for no page.
    pub readiness_address: Option<SocketAddr>,
    /// Address of the metrics page; `None` for no page.
    pub metrics_address: Option<SocketAddr>,
    /// Port at which control instances accept messages (TCP) and presence datagrams (UDP).
    pub peer_port: u16,
    /// Addresses of control instances that are known at the start.
    pub seeds: Vec<IpAddr>,
    /// Whether this is the first start of the deployment, so that a new change log may be created.
    pub first_start: bool,
    /// Folder of the change log; only on control instances.
    pub data_folder: Option<PathBuf>,
    /// Number of machines that may be lost with their disks at the same time.
    pub machines_lost: usize,
    /// Factor by which the rate of requests to a cold upstream may exceed what it tolerates.
    pub cold_overshoot: f64,
    /// Requests per second by which that rate may exceed it in addition.
    pub cold_slack: f64,
    /// Largest part of the requests of one region that may change the region in which they run from
    /// one window of 2 s to the next, over all instances; 1 for no bound.
    pub max_region_shift: f64,
    /// Allowed retries per request, over all instances.
    pub retry_ratio: f64,
    /// Allowed retries per window in addition, over all instances.
    pub retry_slack: f64,
    /// Time from the stop signal until the process is killed.
    pub stop_ms: u64,
    /// Calls per second that the source of the list of upstreams accepts from all instances
    /// together.
    pub list_calls_per_s: f64,
    /// Bandwidth of the machine's link in each direction, in Mbit/s; `None` if it is not known.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// Time after the confirmation of its withdrawal by which no request runs with a customer's
    /// key, also at instances that are cut off; `None` for no such bound.
    #[serde(default)]
    pub revoke_ms: Option<u64>,
    /// Length of the sliding window of customers' quotas.
    #[serde(default = "default_quota_window_ms")]
    pub quota_window_ms: u64,
    /// Fraction by which the requests of a customer in a window may exceed its quota.
    #[serde(default = "default_quota_overshoot")]
    pub quota_overshoot: f64,
    /// Requests of a customer in a window by which they may exceed it in addition.
    #[serde(default)]
    pub quota_slack: f64,
    /// Whether objects move on to other regions while a region is busy.
    #[serde(default)]
    pub places_by_room: bool,
    /// Whether slots beyond which the upstreams of a service are seen to slow down count as queue.
    #[serde(default)]
    pub learns_capacity: bool,
    /// Whether all upstreams answer status checks at once, so that a kept connection is checked before
    /// a request that must not be repeated is sent on it.
    #[serde(default)]
    pub checks_connections: bool,
    /// Whether entry instances learn the speed of upstreams together, and pass over slow ones.
    #[serde(default)]
    pub shares_speed: bool,
}

/// Default length of the window of customers' quotas.
pub const DEFAULT_QUOTA_WINDOW_MS: u64 = 5_000;

/// Default fraction by which a customer's requests may exceed its quota.
pub const DEFAULT_QUOTA_OVERSHOOT: f64 = 0.1;

fn default_quota_window_ms() -> u64 {
    DEFAULT_QUOTA_WINDOW_MS
}

fn default_quota_overshoot() -> f64 {
    DEFAULT_QUOTA_OVERSHOOT
}

impl NodeSettings {
    /// Returns the address at which a control instance accepts messages.
    pub fn peer_address(&self, address: IpAddr) -> SocketAddr {
        SocketAddr::new(address, self.peer_port)
    }

    /// Returns the time for which an entry instance that stops still serves new requests.
    pub fn serve_time(&self) -> Duration {
        Duration::from_millis(self.stop_ms).mul_f64(SERVE_FRACTION)
    }

    /// Returns what the machine's link carries.
    pub fn link_capacity(&self) -> LinkCapacity {
        self.link_mbps
            .map_or_else(LinkCapacity::default, LinkCapacity::new)
    }

    /// Returns the settings of customers' quotas.
    pub fn quota_settings(&self) -> QuotaSettings {
        QuotaSettings {
            window: Duration::from_millis(self.quota_window_ms),
            overshoot: self.quota_overshoot,
            slack: self.quota_slack,
            ..QuotaSettings::default()
        }
    }

    /// Returns the settings of the load balancer.
    pub fn load_balancer_settings(&self) -> LoadBalancerSettings {
        LoadBalancerSettings {
            instance: self.instance.clone(),
            region: self.region.clone(),
            zone_regions: self.zone_regions.clone(),
            cold_overshoot: self.cold_overshoot,
            cold_slack: self.cold_slack,
            max_region_shift: self.max_region_shift,
            places_by_room: self.places_by_room,
            learns_capacity: self.learns_capacity,
            shares_speed: self.shares_speed,
        }
    }
}
