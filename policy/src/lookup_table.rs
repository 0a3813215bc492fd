use std::net::IpAddr;

use ipnet::IpNet;
use laburnumdeal_model::{Configuration, GroupId, RegionId, ServiceId, Steering, Topology, ZoneId};

use crate::{PrefixTable, ZoneDrains};

/// Longest-prefix-match table that maps address blocks of callers to ordered lists of availability
/// zones.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{Change, Configuration, Topology, embedded_topology};
/// use laburnumdeal_policy::LookupTable;
///
/// let topology = Topology::build(&embedded_topology())?;
/// let change = Change::Steer {
///     blocks: vec!["10.0.0.0/8".parse().unwrap()],
///     zones: vec!["smouha".into()],
/// };
/// let configuration = Configuration::default().apply(&change, &topology, 0, false).unwrap();
/// let table = LookupTable::build(&configuration, &topology);
/// assert_eq!(table.zones("10.1.2.3".parse().unwrap()), [topology.zone_named("smouha").unwrap()]);
/// assert_eq!(table.zones("192.0.2.1".parse().unwrap()).len(), 2);
/// # Ok::<(), laburnumdeal_model::TopologyError>(())
/// ```
#[derive(Clone, Debug)]
pub struct LookupTable {
    v4: PrefixTable<u32>,
    v6: PrefixTable<u64>,
    v6_long: PrefixTable<u128>,
    /// Zones of all groups, concatenated.
    group_zones: Vec<ZoneId>,
    /// Start of each group in `group_zones`, followed by the end of the last group.
    group_starts: Vec<u32>,
    all_zones: Vec<ZoneId>,
    zone_regions: Vec<RegionId>,
    /// Whether a service has an allowed upstream in a zone, indexed by service and then by zone.
    runs: Vec<bool>,
    drains: ZoneDrains,
}

impl LookupTable {
    /// Builds the table of one version of the configuration.
    pub fn build(configuration: &Configuration, topology: &Topology) -> Self {
        let mut blocks = Blocks::default();
        blocks.collect(&configuration.steering);
        let (group_zones, group_starts) = flatten_groups(&configuration.steering, topology);
        Self {
            v4: PrefixTable::build(&blocks.v4),
            v6: PrefixTable::build(&blocks.v6),
            v6_long: PrefixTable::build(&blocks.v6_long),
            group_zones,
            group_starts,
            all_zones: topology.zone_ids().collect(),
            zone_regions: topology.zones.iter().map(|zone| zone.region).collect(),
            runs: running_zones(configuration, topology),
            drains: ZoneDrains::build(configuration, topology),
        }
    }

    /// Returns the zones that an address is steered to, or all zones in key order.
    pub fn zones(&self, address: IpAddr) -> &[ZoneId] {
        self.steered_zones(address).unwrap_or(&self.all_zones)
    }

    /// Returns the zones of the longest steering block that contains an address.
    pub fn steered_zones(&self, address: IpAddr) -> Option<&[ZoneId]> {
        let group = match address.to_canonical() {
            IpAddr::V4(address) => self.v4.find(address.to_bits()),
            IpAddr::V6(address) => self
                .v6_long
                .find(address.to_bits())
                .or_else(|| self.v6.find((address.to_bits() >> 64) as u64)),
        }?;
        let start = self.group_starts[group.index()] as usize;
        let end = self.group_starts[group.index() + 1] as usize;
        Some(&self.group_zones[start..end])
    }

    /// Returns the home zone of a caller for a service: the first zone in its order of preference
    /// that runs the service, or `my_zone` when none does.
    pub fn home_zone(&self, service: ServiceId, address: IpAddr, my_zone: ZoneId) -> ZoneId {
        let mut zones = self.zones_by_preference(address, my_zone);
        zones
            .find(|zone| self.runs(service, *zone))
            .unwrap_or(my_zone)
    }

    /// Returns every zone once: `my_zone`, the other zones of its region, then the rest in key
    /// order.
    pub fn zones_by_proximity(&self, my_zone: ZoneId) -> impl Iterator<Item = ZoneId> + '_ {
        let region = self.zone_regions[my_zone.index()];
        let is_same_region = move |zone: &ZoneId| self.zone_regions[zone.index()] == region;
        let others = move || {
            self.all_zones
                .iter()
                .copied()
                .filter(move |z| *z != my_zone)
        };
        std::iter::once(my_zone)
            .chain(others().filter(is_same_region))
            .chain(others().filter(move |zone| !is_same_region(zone)))
    }

    /// Returns the zones that an address is steered to, followed by all others by proximity.
    pub fn zones_by_preference(
        &self,
        address: IpAddr,
        my_zone: ZoneId,
    ) -> impl Iterator<Item = ZoneId> + '_ {
        let steered = self.steered_zones(address).unwrap_or(&[]);
        let rest = self
            .zones_by_proximity(my_zone)
            .filter(|zone| !steered.contains(zone));
        steered.iter().copied().chain(rest)
    }

    /// Returns whether a service has an allowed upstream in a zone.
    pub fn runs(&self, service: ServiceId, zone: ZoneId) -> bool {
        self.runs[service.index() * self.all_zones.len() + zone.index()]
    }

    /// Returns the region of a zone.
    pub fn region_of(&self, zone: ZoneId) -> RegionId {
        self.zone_regions[zone.index()]
    }

    /// Returns the share of callers that drains have moved away from each zone.
    pub fn drains(&self) -> &ZoneDrains {
        &self.drains
    }

    /// Returns the number of steering blocks.
    pub fn blocks(&self) -> usize {
        self.v4.len() + self.v6.len() + self.v6_long.len()
    }

    /// Returns the memory that blocks and groups use, in bytes.
    pub fn bytes(&self) -> usize {
        let groups = size_of_val(&self.group_zones[..]) + size_of_val(&self.group_starts[..]);
        self.v4.bytes() + self.v6.bytes() + self.v6_long.bytes() + groups
    }
}

/// Steering blocks, grouped by the number of address bits that they need. IPv6 blocks up to /64 fit
/// into 64 bits.
#[derive(Default)]
struct Blocks {
    v4: Vec<(u32, u8, GroupId)>,
    v6: Vec<(u64, u8, GroupId)>,
    v6_long: Vec<(u128, u8, GroupId)>,
}

impl Blocks {
    fn collect(&mut self, steering: &Steering) {
        for (block, group) in steering.blocks() {
            let length = block.prefix_len();
            match block {
                IpNet::V4(block) => self.v4.push((block.network().to_bits(), length, group)),
                IpNet::V6(block) => {
                    let start = block.network().to_bits();
                    match length {
                        0..=64 => self.v6.push(((start >> 64) as u64, length, group)),
                        _ => self.v6_long.push((start, length, group)),
                    }
                }
            }
        }
    }
}

/// Flattens the zone lists of all groups. Zone names that the topology does not have are skipped.
fn flatten_groups(steering: &Steering, topology: &Topology) -> (Vec<ZoneId>, Vec<u32>) {
    let mut zones = Vec::new();
    let mut starts = vec![0];
    for group in steering.groups() {
        zones.extend(group.iter().filter_map(|name| topology.zone_named(name)));
        starts.push(zones.len() as u32);
    }
    (zones, starts)
}

fn running_zones(configuration: &Configuration, topology: &Topology) -> Vec<bool> {
    let mut runs = vec![false; topology.services.len() * topology.zones.len()];
    for upstream in &topology.upstreams {
        let service = &topology.service(upstream.service).name;
        let position = upstream.service.index() * topology.zones.len() + upstream.zone.index();
        runs[position] |= configuration.is_allowed(service, &upstream.name);
    }
    runs
}
