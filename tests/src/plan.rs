use std::net::SocketAddr;

use laburnumdeal_model::{
    InstanceSettings, LinkSettings, OperatorSettings, RegionSettings, ServiceSettings, Settings,
    TopologySettings, UpstreamSettings, ZoneSettings,
};

use crate::loopback::Loopback;

/// Peer secret that the instances of a test cluster share.
const PEER_SECRET: &str = "secret-of-the-test-cluster";

/// Token of the operator that test clusters know.
pub const OPERATOR_TOKEN: &str = "token-of-the-test-operator";

/// Layout of a test cluster. A [`Loopback`] allocates its addresses.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Zones, each with its region and number of instances.
    pub zones: Vec<(&'static str, &'static str, usize)>,
    /// Services of all zones.
    pub services: Vec<ServiceSettings>,
    /// Number of upstreams of each service in each zone.
    pub upstreams_per_zone: usize,
    /// Concurrent requests that each upstream takes.
    pub slots: u16,
    /// Number of control replicas, placed in different zones where possible.
    pub control: usize,
    /// Intake of each region, in requests per second.
    pub intake_per_s: u64,
    /// Capacity of each link between regions, in bytes per second.
    pub link_bytes_per_s: u64,
}

impl Default for Plan {
    /// Returns three instances in two zones of two regions, with one control replica.
    fn default() -> Self {
        Self {
            zones: vec![("nasr", "cairo", 2), ("smouha", "alexandria", 1)],
            services: vec![service("catalog", false), service("gatekeeper", true)],
            upstreams_per_zone: 2,
            slots: 9,
            control: 1,
            intake_per_s: 1_000_000,
            link_bytes_per_s: 500_000_000,
        }
    }
}

/// Returns a service with a deadline of five seconds.
pub fn service(name: &str, requires_key: bool) -> ServiceSettings {
    ServiceSettings {
        name: name.to_owned(),
        idempotent: false,
        requires_key,
        deadline_ms: 5_000,
        max_request_bytes: 8 << 20,
        max_answer_bytes: 8 << 20,
    }
}

impl Plan {
    /// Returns the topology of the plan, with addresses from `loopback`.
    pub fn topology(&self, loopback: &mut Loopback) -> TopologySettings {
        let mut instances = self.instances(loopback);
        for position in control_positions(&instances, self.control) {
            instances[position].control = true;
        }
        TopologySettings {
            regions: self.regions(),
            zones: self
                .zones
                .iter()
                .map(|(zone, region, _)| ZoneSettings {
                    name: (*zone).to_owned(),
                    region: (*region).to_owned(),
                })
                .collect(),
            instances,
            services: self.services.clone(),
            upstreams: self.upstreams(loopback),
            links: self.links(),
        }
    }

    /// Returns the settings of an instance, with timeouts that keep tests short.
    pub fn settings(&self, topology: &TopologySettings, instance: &str) -> Settings {
        Settings {
            instance: instance.to_owned(),
            data_folder: None,
            peer_secret: PEER_SECRET.to_owned(),
            operators: vec![OperatorSettings {
                name: "nadia".to_owned(),
                token: OPERATOR_TOKEN.to_owned(),
                read_only: false,
            }],
            platform_list: None,
            peer_timeout_ms: 1_000,
            lease_ms: 2_000,
            stop_ms: 10_000,
            lookup_ttl_ms: 300,
            resend_horizon_ms: 600_000,
            seed: Some(7),
            log_level: "info".to_owned(),
            topology: topology.clone(),
        }
    }

    fn regions(&self) -> Vec<RegionSettings> {
        let mut names: Vec<&str> = self.zones.iter().map(|(_, region, _)| *region).collect();
        names.dedup();
        let region = |name: &str| RegionSettings {
            name: name.to_owned(),
            intake_per_s: self.intake_per_s,
        };
        names.into_iter().map(region).collect()
    }

    fn instances(&self, loopback: &mut Loopback) -> Vec<InstanceSettings> {
        let mut instances = Vec::new();
        for (zone, _, count) in &self.zones {
            for number in 1..=*count {
                instances.push(InstanceSettings {
                    name: format!("{zone}-{number}"),
                    zone: (*zone).to_owned(),
                    caller_address: loopback.address(),
                    peer_address: loopback.address(),
                    operator_address: loopback.address(),
                    control: false,
                });
            }
        }
        instances
    }

    fn upstreams(&self, loopback: &mut Loopback) -> Vec<UpstreamSettings> {
        let mut upstreams = Vec::new();
        for service in &self.services {
            for (zone, _, _) in &self.zones {
                for number in 1..=self.upstreams_per_zone {
                    let address = loopback.address();
                    upstreams.push(self.upstream(&service.name, zone, number, address));
                }
            }
        }
        upstreams
    }

    fn upstream(
        &self,
        service: &str,
        zone: &str,
        number: usize,
        address: SocketAddr,
    ) -> UpstreamSettings {
        UpstreamSettings {
            name: format!("{service}-{zone}-{number}"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            slots: self.slots,
            connections: 330,
        }
    }

    fn links(&self) -> Vec<LinkSettings> {
        let regions = self.regions();
        let mut links = Vec::new();
        for from in &regions {
            for to in regions.iter().filter(|to| to.name != from.name) {
                links.push(LinkSettings {
                    from: from.name.clone(),
                    to: to.name.clone(),
                    bytes_per_s: self.link_bytes_per_s,
                });
            }
        }
        links
    }
}

/// Returns the positions of the control replicas: the first instance of each zone, then the second
/// of each, and so on.
fn control_positions(instances: &[InstanceSettings], count: usize) -> Vec<usize> {
    let mut positions: Vec<usize> = (0..instances.len()).collect();
    let rank = |position: &usize| {
        let zone = &instances[*position].zone;
        instances[..*position]
            .iter()
            .filter(|other| other.zone == *zone)
            .count()
    };
    positions.sort_by_key(rank);
    positions.truncate(count);
    positions
}
