use crate::topology_checks::{
    NameIndex, check_addresses, check_control, check_links, check_numbers,
};
use crate::{
    Digest, Instance, InstanceId, Link, NameKind, Region, RegionId, Service, ServiceId,
    TopologyError, TopologySettings, Upstream, UpstreamId, Zone, ZoneId,
};

/// Regions, availability zones, instances, services, upstreams and links of the system, in lists
/// that are indexed by small keys.
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
    /// Hash of what instances must agree on: names and order of the entries, how they refer to each
    /// other, control replicas, slots, and which requests may be repeated or need a key. Addresses
    /// may differ.
    pub digest: Digest,
}

impl Topology {
    /// Checks the settings and builds the topology from them.
    ///
    /// # Errors
    ///
    /// Returns the first entry that is defined twice, refers to an entry that does not exist, or
    /// has a value out of range.
    pub fn build(settings: &TopologySettings) -> Result<Self, TopologyError> {
        let regions = NameIndex::collect(
            NameKind::Region,
            settings.regions.iter().map(|r| &r.name),
            255,
        )?;
        let zones = NameIndex::collect(
            NameKind::Zone,
            settings.zones.iter().map(|z| &z.name),
            65_535,
        )?;
        let services = NameIndex::collect(
            NameKind::Service,
            settings.services.iter().map(|s| &s.name),
            65_535,
        )?;
        NameIndex::collect(
            NameKind::Instance,
            settings.instances.iter().map(|i| &i.name),
            65_535,
        )?;
        NameIndex::collect(
            NameKind::Upstream,
            settings.upstreams.iter().map(|u| &u.name),
            1 << 24,
        )?;
        check_addresses(settings)?;
        check_numbers(settings)?;
        check_links(settings)?;
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
                    let referrer = format!("link {} to {}", l.from, l.to);
                    Ok(Link {
                        from: RegionId(regions.find(&l.from, &referrer)? as u8),
                        to: RegionId(regions.find(&l.to, &referrer)? as u8),
                        bytes_per_s: l.bytes_per_s,
                    })
                })
                .collect::<Result<_, _>>()?,
            digest: digest(settings),
        })
    }

    /// Returns the region with a key.
    pub fn region(&self, id: RegionId) -> &Region {
        &self.regions[id.index()]
    }

    /// Returns the availability zone with a key.
    pub fn zone(&self, id: ZoneId) -> &Zone {
        &self.zones[id.index()]
    }

    /// Returns the entry instance with a key.
    pub fn instance(&self, id: InstanceId) -> &Instance {
        &self.instances[id.index()]
    }

    /// Returns the service with a key.
    pub fn service(&self, id: ServiceId) -> &Service {
        &self.services[id.index()]
    }

    /// Returns the upstream with a key.
    pub fn upstream(&self, id: UpstreamId) -> &Upstream {
        &self.upstreams[id.index()]
    }

    /// Returns the region that a zone belongs to.
    pub fn region_of(&self, zone: ZoneId) -> RegionId {
        self.zone(zone).region
    }

    /// Returns the key of the region with a name.
    pub fn region_named(&self, name: &str) -> Option<RegionId> {
        self.regions
            .iter()
            .position(|r| r.name == name)
            .map(|i| RegionId(i as u8))
    }

    /// Returns the key of the availability zone with a name.
    pub fn zone_named(&self, name: &str) -> Option<ZoneId> {
        self.zones
            .iter()
            .position(|z| z.name == name)
            .map(|i| ZoneId(i as u16))
    }

    /// Returns the key of the instance with a name.
    pub fn instance_named(&self, name: &str) -> Option<InstanceId> {
        self.instances
            .iter()
            .position(|i| i.name == name)
            .map(|i| InstanceId(i as u16))
    }

    /// Returns the key of the service with a name.
    pub fn service_named(&self, name: &str) -> Option<ServiceId> {
        self.services
            .iter()
            .position(|s| s.name == name)
            .map(|i| ServiceId(i as u16))
    }

    /// Returns the key of the upstream with a name.
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

    /// Returns the keys of all zones, in order.
    pub fn zone_ids(&self) -> impl Iterator<Item = ZoneId> + use<> {
        (0..self.zones.len()).map(|i| ZoneId(i as u16))
    }

    /// Returns the keys of all instances, in order.
    pub fn instance_ids(&self) -> impl Iterator<Item = InstanceId> + use<> {
        (0..self.instances.len()).map(|i| InstanceId(i as u16))
    }

    /// Returns the keys of all services, in order.
    pub fn service_ids(&self) -> impl Iterator<Item = ServiceId> + use<> {
        (0..self.services.len()).map(|i| ServiceId(i as u16))
    }

    /// Returns the keys of all upstreams, in order.
    pub fn upstream_ids(&self) -> impl Iterator<Item = UpstreamId> + use<> {
        (0..self.upstreams.len()).map(|i| UpstreamId(i as u32))
    }

    /// Returns the instances that are control replicas, in key order.
    pub fn control_ids(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.instance_ids().filter(|id| self.instance(*id).control)
    }
}

/// Hashes the entries by position, so that equal hashes mean that every key refers to the same
/// entry.
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
