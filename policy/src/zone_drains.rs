use laburnumdeal_model::{Configuration, Target, Topology, WHOLE_PERMILLE, ZoneId};

use crate::CallerHash;

/// Share of each zone's callers that drains have moved away, in thousandths.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{Configuration, Topology, ZoneId, embedded_topology};
/// use laburnumdeal_policy::ZoneDrains;
///
/// let topology = Topology::build(&embedded_topology())?;
/// let drains = ZoneDrains::build(&Configuration::default(), &topology);
/// assert_eq!(drains.moved_permille(ZoneId(0)), 0);
/// # Ok::<(), laburnumdeal_model::TopologyError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct ZoneDrains {
    moved_permille: Vec<u16>,
}

impl ZoneDrains {
    /// Builds the table from the drains of zones and regions in a configuration. A zone takes the
    /// larger one of its own and its region's.
    pub fn build(configuration: &Configuration, topology: &Topology) -> Self {
        let moved_of = |target: Target| {
            let drain = configuration.drains.get(&target);
            drain.map_or(0, |drain| drain.moved_permille)
        };
        let zones = topology.zones.iter().map(|zone| {
            let region = topology.region(zone.region).name.clone();
            moved_of(Target::Zone(zone.name.clone())).max(moved_of(Target::Region(region)))
        });
        Self {
            moved_permille: zones.collect(),
        }
    }

    /// Returns the thousandths of a zone's callers that have been moved away.
    pub fn moved_permille(&self, zone: ZoneId) -> u16 {
        self.moved_permille[zone.index()]
    }

    /// Returns whether a zone's callers with this hash have been moved away. Raising the moved
    /// share never moves a caller back.
    pub fn is_moved(&self, zone: ZoneId, hash: CallerHash) -> bool {
        hash.permille() < self.moved_permille(zone)
    }

    /// Returns whether all callers of a zone have been moved away.
    pub fn is_fully_drained(&self, zone: ZoneId) -> bool {
        self.moved_permille(zone) >= WHOLE_PERMILLE
    }
}
