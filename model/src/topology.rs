use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use derive_more::{Display, Error};

use crate::{
    Digest, InstanceId, InstanceSettings, NameKind, RegionId, ServiceId, TopologySettings,
    UpstreamId, ZoneId,
};

/// Everything that exists, in arenas that are addressed by small keys.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{Topology, TopologySettings, embedded_topology};
///
/// let settings: TopologySettings = embedded_topology();
/// let topology = Topology::build(&settings)?;
/// let zone = topology.zone_named("nasr").unwrap();
/// assert_eq!(topology.zone(zone).name, "nasr");
/// # Ok::<(), laburnumdeal_model::TopologyError>(())
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    /// Regions by [`RegionId`].
    pub regions: Vec<Region>,
    /// Availability zones by [`ZoneId`].
    pub zones: Vec<Zone>,
    /// Entry instances by [`InstanceId`].
    pub instances: Vec<Instance>,
    /// Services by [`ServiceId`].
    pub services: Vec<Service>,
    /// Upstreams by [`UpstreamId`].
    pub upstreams: Vec<Upstream>,
    /// Links between regions.
    pub links: Vec<Link>,
    /// Hash of what instances must agree on: names, order, relations, slots and what may be
    /// repeated. Addresses may differ.
    pub digest: Digest,
}

/// One region.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Region {
    /// Name, unique among regions.
    pub name: String,
    /// Requests that the region can take in, per second.
    pub intake_per_s: u64,
}

/// One availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Name, unique among availability zones.
    pub name: String,
    /// Region that it lies in.
    pub region: RegionId,
}

/// One entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name, unique among instances.
    pub name: String,
    /// Availability zone that it stands in.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Address for operators, health and metrics.
    pub operator_address: SocketAddr,
    /// Whether the instance is a replica of the change log.
    pub control: bool,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name, unique among services.
    pub name: String,
    /// Whether every request may run more than once, whatever its method.
    pub idempotent: bool,
    /// Whether requests that are not idempotent must carry a key.
    pub requires_key: bool,
    /// Time a request may take when the caller names none.
    pub deadline_ms: u64,
    /// Longest request body.
    pub max_request_bytes: u64,
    /// Longest answer body.
    pub max_answer_bytes: u64,
}

/// One upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name, unique among upstreams.
    pub name: String,
    /// Service that it runs.
    pub service: ServiceId,
    /// Availability zone that it stands in.
    pub zone: ZoneId,
    /// Address for requests, health and load.
    pub address: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u16,
    /// Connections that it takes at the same time.
    pub connections: u16,
}

/// One link between two regions, one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Link {
    /// Region that sends.
    pub from: RegionId,
    /// Region that receives.
    pub to: RegionId,
    /// Bytes that the link carries, per second.
    pub bytes_per_s: u64,
}

/// Reports what is wrong in a topology.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum TopologyError {
    /// Two entries of one kind have the same name.
    #[display("{kind} {name:?} is defined twice in the topology")]
    Duplicate {
        /// Kind of the entries.
        kind: NameKind,
        /// Name they share.
        name: String,
    },
    /// An entry refers to a name that is not defined.
    #[display("{kind} {name:?}, named by {user:?}, does not exist in the topology")]
    Unknown {
        /// Kind of the missing entry.
        kind: NameKind,
        /// Missing name.
        name: String,
        /// Entry that refers to it.
        user: String,
    },
    /// A name has characters that the command language does not take.
    #[display(
        "{kind} name {name:?} must start with a letter and have only letters, digits, '-' and '_'"
    )]
    BadName {
        /// Kind of the entry.
        kind: NameKind,
        /// Name as given.
        name: String,
    },
    /// A number must be greater than zero.
    #[display("{field} of {name:?} is 0; expected 1 or more")]
    Zero {
        /// Field that is zero.
        field: &'static str,
        /// Entry that it belongs to.
        name: String,
    },
    /// Two entries listen on the same address.
    #[display("address {address} is used twice in the topology")]
    DuplicateAddress {
        /// Address that is used twice.
        address: SocketAddr,
    },
    /// More entries than keys can tell apart.
    #[display("the topology has {count} entries of kind {kind}; expected at most {most}")]
    TooMany {
        /// Kind of the entries.
        kind: NameKind,
        /// How many there are.
        count: usize,
        /// How many are allowed.
        most: usize,
    },
    /// The number of control replicas cannot form a useful quorum.
    #[display("the topology has {count} control replicas; expected 1, 3, 5 or 7")]
    ControlCount {
        /// How many there are.
        count: usize,
    },
}

impl Topology {
    /// Checks settings in full and builds the arenas from them.
    ///
    /// # Errors
    ///
    /// Returns the first entry that is defined twice, refers to nothing, or has a value out of range.
    pub fn build(settings: &TopologySettings) -> Result<Self, TopologyError> {
        let regions = Names::collect(
            NameKind::Region,
            settings.regions.iter().map(|r| &r.name),
            255,
        )?;
        let zones = Names::collect(
            NameKind::Zone,
            settings.zones.iter().map(|z| &z.name),
            65_535,
        )?;
        let services = Names::collect(
            NameKind::Service,
            settings.services.iter().map(|s| &s.name),
            65_535,
        )?;
        Names::collect(
            NameKind::Instance,
            settings.instances.iter().map(|i| &i.name),
            65_535,
        )?;
        Names::collect(
            NameKind::Upstream,
            settings.upstreams.iter().map(|u| &u.name),
            1 << 24,
        )?;
        check_addresses(settings)?;
        check_numbers(settings)?;
        check_control(&settings.instances)?;
        Ok(Self {
            regions: settings
                .regions
                .iter()
                .map(|r| Region {
                    name: r.name.clone(),
                    intake_per_s: r.intake_per_s,
                })
                .collect(),
            zones: settings
                .zones
                .iter()
                .map(|z| {
                    let region = RegionId(regions.find(&z.region, &z.name)? as u8);
                    Ok(Zone {
                        name: z.name.clone(),
                        region,
                    })
                })
                .collect::<Result<_, _>>()?,
            instances: settings
                .instances
                .iter()
                .map(|i| {
                    Ok(Instance {
                        name: i.name.clone(),
                        zone: ZoneId(zones.find(&i.zone, &i.name)? as u16),
                        caller_address: i.caller_address,
                        peer_address: i.peer_address,
                        operator_address: i.operator_address,
                        control: i.control,
                    })
                })
                .collect::<Result<_, _>>()?,
            services: settings
                .services
                .iter()
                .map(|s| Service {
                    name: s.name.clone(),
                    idempotent: s.idempotent,
                    requires_key: s.requires_key,
                    deadline_ms: s.deadline_ms,
                    max_request_bytes: s.max_request_bytes,
                    max_answer_bytes: s.max_answer_bytes,
                })
                .collect(),
            upstreams: settings
                .upstreams
                .iter()
                .map(|u| {
                    Ok(Upstream {
                        name: u.name.clone(),
                        service: ServiceId(services.find(&u.service, &u.name)? as u16),
                        zone: ZoneId(zones.find(&u.zone, &u.name)? as u16),
                        address: u.address,
                        slots: u.slots,
                        connections: u.connections,
                    })
                })
                .collect::<Result<_, _>>()?,
            links: settings
                .links
                .iter()
                .map(|l| {
                    let user = format!("link {} to {}", l.from, l.to);
                    Ok(Link {
                        from: RegionId(regions.find(&l.from, &user)? as u8),
                        to: RegionId(regions.find(&l.to, &user)? as u8),
                        bytes_per_s: l.bytes_per_s,
                    })
                })
                .collect::<Result<_, _>>()?,
            digest: digest(settings),
        })
    }

    /// Returns the region of a key.
    pub fn region(&self, id: RegionId) -> &Region {
        &self.regions[id.index()]
    }

    /// Returns the availability zone of a key.
    pub fn zone(&self, id: ZoneId) -> &Zone {
        &self.zones[id.index()]
    }

    /// Returns the entry instance of a key.
    pub fn instance(&self, id: InstanceId) -> &Instance {
        &self.instances[id.index()]
    }

    /// Returns the service of a key.
    pub fn service(&self, id: ServiceId) -> &Service {
        &self.services[id.index()]
    }

    /// Returns the upstream of a key.
    pub fn upstream(&self, id: UpstreamId) -> &Upstream {
        &self.upstreams[id.index()]
    }

    /// Returns the region that a zone lies in.
    pub fn region_of(&self, zone: ZoneId) -> RegionId {
        self.zone(zone).region
    }

    /// Returns the key of a region name.
    pub fn region_named(&self, name: &str) -> Option<RegionId> {
        self.regions
            .iter()
            .position(|r| r.name == name)
            .map(|i| RegionId(i as u8))
    }

    /// Returns the key of an availability zone name.
    pub fn zone_named(&self, name: &str) -> Option<ZoneId> {
        self.zones
            .iter()
            .position(|z| z.name == name)
            .map(|i| ZoneId(i as u16))
    }

    /// Returns the key of an instance name.
    pub fn instance_named(&self, name: &str) -> Option<InstanceId> {
        self.instances
            .iter()
            .position(|i| i.name == name)
            .map(|i| InstanceId(i as u16))
    }

    /// Returns the key of a service name.
    pub fn service_named(&self, name: &str) -> Option<ServiceId> {
        self.services
            .iter()
            .position(|s| s.name == name)
            .map(|i| ServiceId(i as u16))
    }

    /// Returns the key of an upstream name.
    pub fn upstream_named(&self, name: &str) -> Option<UpstreamId> {
        self.upstreams
            .iter()
            .position(|u| u.name == name)
            .map(|i| UpstreamId(i as u32))
    }

    /// Returns the instances of an availability zone, in key order.
    pub fn instances_in(&self, zone: ZoneId) -> impl Iterator<Item = InstanceId> + '_ {
        self.instance_ids()
            .filter(move |id| self.instance(*id).zone == zone)
    }

    /// Returns the upstreams of a service in an availability zone, in key order.
    pub fn upstreams_in(
        &self,
        zone: ZoneId,
        service: ServiceId,
    ) -> impl Iterator<Item = UpstreamId> + '_ {
        self.upstream_ids().filter(move |id| {
            let upstream = self.upstream(*id);
            upstream.zone == zone && upstream.service == service
        })
    }

    /// Returns every zone key.
    pub fn zone_ids(&self) -> impl Iterator<Item = ZoneId> + use<> {
        (0..self.zones.len()).map(|i| ZoneId(i as u16))
    }

    /// Returns every instance key.
    pub fn instance_ids(&self) -> impl Iterator<Item = InstanceId> + use<> {
        (0..self.instances.len()).map(|i| InstanceId(i as u16))
    }

    /// Returns every service key.
    pub fn service_ids(&self) -> impl Iterator<Item = ServiceId> + use<> {
        (0..self.services.len()).map(|i| ServiceId(i as u16))
    }

    /// Returns every upstream key.
    pub fn upstream_ids(&self) -> impl Iterator<Item = UpstreamId> + use<> {
        (0..self.upstreams.len()).map(|i| UpstreamId(i as u32))
    }

    /// Returns the instances that are replicas of the change log, in key order.
    pub fn control_ids(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.instance_ids().filter(|id| self.instance(*id).control)
    }
}

/// Hashes what keys mean: equal where every key stands for the same thing.
fn digest(settings: &TopologySettings) -> Digest {
    let regions: Vec<_> = settings.regions.iter().map(|r| &r.name).collect();
    let zones: Vec<_> = settings
        .zones
        .iter()
        .map(|z| (&z.name, &z.region))
        .collect();
    let instances: Vec<_> = settings
        .instances
        .iter()
        .map(|i| (&i.name, &i.zone, i.control))
        .collect();
    let services: Vec<_> = settings
        .services
        .iter()
        .map(|s| (&s.name, s.idempotent, s.requires_key))
        .collect();
    let upstreams: Vec<_> = settings
        .upstreams
        .iter()
        .map(|u| (&u.name, &u.service, &u.zone, u.slots))
        .collect();
    let links: Vec<_> = settings.links.iter().map(|l| (&l.from, &l.to)).collect();
    let all = (regions, zones, instances, services, upstreams, links);
    Digest::of(&[&rmp_serde::to_vec(&all).expect("plain data encodes")])
}

/// Positions of names of one kind.
struct Names<'a> {
    kind: NameKind,
    positions: HashMap<&'a str, usize>,
}

impl<'a> Names<'a> {
    fn collect(
        kind: NameKind,
        names: impl Iterator<Item = &'a String>,
        most: usize,
    ) -> Result<Self, TopologyError> {
        let mut positions = HashMap::new();
        for (position, name) in names.enumerate() {
            if !is_name(name) {
                return Err(TopologyError::BadName {
                    kind,
                    name: name.clone(),
                });
            }
            if positions.insert(name.as_str(), position).is_some() {
                return Err(TopologyError::Duplicate {
                    kind,
                    name: name.clone(),
                });
            }
        }
        if positions.len() > most {
            return Err(TopologyError::TooMany {
                kind,
                count: positions.len(),
                most,
            });
        }
        Ok(Self { kind, positions })
    }

    fn find(&self, name: &str, user: &str) -> Result<usize, TopologyError> {
        self.positions
            .get(name)
            .copied()
            .ok_or_else(|| TopologyError::Unknown {
                kind: self.kind,
                name: name.to_owned(),
                user: user.to_owned(),
            })
    }
}

fn is_name(name: &str) -> bool {
    name.starts_with(|c: char| c.is_ascii_alphabetic())
        && name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_'))
}

fn check_addresses(settings: &TopologySettings) -> Result<(), TopologyError> {
    let of_instances = settings
        .instances
        .iter()
        .flat_map(|i| [i.caller_address, i.peer_address, i.operator_address]);
    let of_upstreams = settings.upstreams.iter().map(|u| u.address);
    let mut seen = HashSet::new();
    match of_instances
        .chain(of_upstreams)
        .find(|address| !seen.insert(*address))
    {
        Some(address) => Err(TopologyError::DuplicateAddress { address }),
        None => Ok(()),
    }
}

fn check_numbers(settings: &TopologySettings) -> Result<(), TopologyError> {
    let regions = settings
        .regions
        .iter()
        .map(|r| ("intake_per_s", &r.name, r.intake_per_s));
    let slots = settings
        .upstreams
        .iter()
        .map(|u| ("slots", &u.name, u64::from(u.slots)));
    let connections = settings
        .upstreams
        .iter()
        .map(|u| ("connections", &u.name, u64::from(u.connections)));
    let deadlines = settings
        .services
        .iter()
        .map(|s| ("deadline_ms", &s.name, s.deadline_ms));
    let links = settings
        .links
        .iter()
        .map(|l| ("bytes_per_s", &l.from, l.bytes_per_s));
    let mut numbers = regions
        .chain(slots)
        .chain(connections)
        .chain(deadlines)
        .chain(links);
    match numbers.find(|(_, _, value)| *value == 0) {
        Some((field, name, _)) => Err(TopologyError::Zero {
            field,
            name: name.clone(),
        }),
        None => Ok(()),
    }
}

fn check_control(instances: &[InstanceSettings]) -> Result<(), TopologyError> {
    let count = instances.iter().filter(|i| i.control).count();
    if matches!(count, 1 | 3 | 5 | 7) {
        Ok(())
    } else {
        Err(TopologyError::ControlCount { count })
    }
}
