use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use crate::{Change, Digest, Items, NameKind, Refusal, Steering, Target, Topology, Version};

/// Thousandths that make a whole.
pub const WHOLE_PERMILLE: u16 = 1000;

/// Most lists of zones that blocks can be steered to.
const MAX_GROUPS: u64 = 1 << 16;

/// State that all accepted changes add up to. It holds names, never arena keys.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{Change, Configuration, Topology, embedded_topology};
///
/// let topology = Topology::build(&embedded_topology())?;
/// let change = Change::CapRegion { region: "cairo".into(), requests_per_s: 100 };
/// let next = Configuration::default().apply(&change, &topology, 0, false).unwrap();
/// assert_eq!(next.version.0, 1);
/// # Ok::<(), laburnumdeal_model::TopologyError>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Number of accepted changes.
    pub version: Version,
    /// Upstreams that each service may use; a service that is absent may use all of its own.
    pub allowed: BTreeMap<String, BTreeSet<String>>,
    /// Drains by target.
    pub drains: BTreeMap<Target, Drain>,
    /// Caps on shifted requests by service, per second.
    pub shift_caps: BTreeMap<String, u64>,
    /// Caps on intake by region, per second.
    pub region_caps: BTreeMap<String, u64>,
    /// Caps on bytes by link, from and to, per second.
    pub link_caps: BTreeMap<(String, String), u64>,
    /// Zones that blocks of callers are steered to; shared between versions that leave it alone.
    pub steering: Arc<Steering>,
    /// Routes, services and limits; shared between versions that leave them alone.
    pub items: Arc<Items>,
}

/// One drain and how far it has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Start, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Length of the period; 0 lasts until it is ended.
    pub for_ms: u64,
    /// Thousandths of the target's traffic that move in one step.
    pub step_permille: u16,
    /// Time between two steps.
    pub every_ms: u64,
    /// Thousandths that have moved.
    pub moved_permille: u16,
    /// Time of the last step, in milliseconds since the Unix epoch.
    pub stepped_at_ms: u64,
}

impl Configuration {
    /// Returns the configuration after a change at `at_ms`, or why it is refused.
    ///
    /// `force` accepts a change that leaves a service without room. [`Change::Revert`] needs the
    /// history, so its contents come from [`Configuration::restore`] instead.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the operator is told.
    pub fn apply(
        &self,
        change: &Change,
        topology: &Topology,
        at_ms: u64,
        force: bool,
    ) -> Result<Self, Refusal> {
        let mut next = self.clone();
        next.version = self.version.next();
        next.make(change, topology, at_ms)?;
        if !force {
            next.check_usable_upstreams(self, topology)?;
        }
        Ok(next)
    }

    /// Returns the contents of `earlier` as the version after this one.
    pub fn restore(&self, earlier: &Self) -> Self {
        Self {
            version: self.version.next(),
            items: self.items.clone(),
            ..earlier.clone()
        }
    }

    /// Returns a hash that is equal on instances with equal contents.
    pub fn digest(&self) -> Digest {
        let small = (
            self.version,
            &self.allowed,
            &self.drains,
            &self.shift_caps,
            &self.region_caps,
            &self.link_caps,
            &*self.items,
        );
        let bytes = rmp_serde::to_vec(&small).expect("plain data encodes");
        Digest::of(&[&bytes, &self.steering.digest().0])
    }

    /// Returns the thousandths of an upstream's work that must go elsewhere, by name.
    pub fn moved_permille(&self, upstream: &str, zone: &str, region: &str) -> u16 {
        let targets = [
            Target::Upstream(upstream.to_owned()),
            Target::Zone(zone.to_owned()),
            Target::Region(region.to_owned()),
        ];
        let drains = targets.iter().filter_map(|target| self.drains.get(target));
        drains.map(|drain| drain.moved_permille).max().unwrap_or(0)
    }

    fn make(&mut self, change: &Change, topology: &Topology, at_ms: u64) -> Result<(), Refusal> {
        match change {
            Change::Allow { service, upstreams } => self.allow(service, upstreams, topology),
            Change::Drain {
                target,
                at_ms,
                for_ms,
                step_permille,
                every_ms,
            } => {
                check_target(target, topology)?;
                check_range(
                    "drain step in thousandths",
                    *step_permille,
                    1,
                    WHOLE_PERMILLE,
                )?;
                let drain = Drain {
                    at_ms: *at_ms,
                    for_ms: *for_ms,
                    step_permille: *step_permille,
                    every_ms: *every_ms,
                    moved_permille: self.drains.get(target).map_or(0, |d| d.moved_permille),
                    stepped_at_ms: 0,
                };
                self.drains.insert(target.clone(), drain);
                Ok(())
            }
            Change::Undrain { target } => match self.drains.remove(target) {
                Some(_) => Ok(()),
                None => Err(Refusal::NoDrain {
                    target: target.clone(),
                }),
            },
            Change::DrainStep {
                target,
                moved_permille,
            } => self.step(target, *moved_permille, at_ms),
            Change::CapShift {
                service,
                requests_per_s,
            } => {
                known(topology.service_named(service), NameKind::Service, service)?;
                self.shift_caps.insert(service.clone(), *requests_per_s);
                Ok(())
            }
            Change::CapRegion {
                region,
                requests_per_s,
            } => self.cap_region(region, *requests_per_s, topology),
            Change::CapLink {
                from,
                to,
                bytes_per_s,
            } => {
                known(topology.region_named(from), NameKind::Region, from)?;
                known(topology.region_named(to), NameKind::Region, to)?;
                self.link_caps
                    .insert((from.clone(), to.clone()), *bytes_per_s);
                Ok(())
            }
            Change::Steer { blocks, zones } => self.steer(blocks, zones, topology),
            Change::Unsteer { block } => match Arc::make_mut(&mut self.steering).remove(*block) {
                true => Ok(()),
                false => Err(Refusal::NoSteering {
                    block: block.to_string(),
                }),
            },
            Change::Items { items } => {
                self.items = Arc::new(self.items.merged(items)?);
                Ok(())
            }
            Change::Revert { to } => Err(Refusal::VersionNotKept {
                to: *to,
                oldest: self.version,
                newest: self.version,
            }),
        }
    }

    fn allow(
        &mut self,
        service: &str,
        upstreams: &[String],
        topology: &Topology,
    ) -> Result<(), Refusal> {
        let service_id = known(topology.service_named(service), NameKind::Service, service)?;
        if upstreams.is_empty() {
            return Err(Refusal::EmptyList {
                what: format!("upstreams of {service}"),
            });
        }
        for name in upstreams {
            let id = known(topology.upstream_named(name), NameKind::Upstream, name)?;
            if topology.upstream(id).service != service_id {
                return Err(Refusal::WrongService {
                    upstream: name.clone(),
                    service: service.to_owned(),
                });
            }
        }
        self.allowed
            .insert(service.to_owned(), upstreams.iter().cloned().collect());
        Ok(())
    }

    fn cap_region(
        &mut self,
        region: &str,
        requests_per_s: u64,
        topology: &Topology,
    ) -> Result<(), Refusal> {
        let id = known(topology.region_named(region), NameKind::Region, region)?;
        let most = topology.region(id).intake_per_s;
        if requests_per_s > most {
            return Err(Refusal::TooHigh {
                what: format!("cap of region {region} per second"),
                most,
                given: requests_per_s,
            });
        }
        self.region_caps.insert(region.to_owned(), requests_per_s);
        Ok(())
    }

    fn steer(
        &mut self,
        blocks: &[IpNet],
        zones: &[String],
        topology: &Topology,
    ) -> Result<(), Refusal> {
        if blocks.is_empty() || zones.is_empty() {
            return Err(Refusal::EmptyList {
                what: "steering".to_owned(),
            });
        }
        for zone in zones {
            known(topology.zone_named(zone), NameKind::Zone, zone)?;
        }
        let steering = Arc::make_mut(&mut self.steering);
        for block in blocks {
            if !steering.insert(*block, zones) {
                return Err(Refusal::TooHigh {
                    what: "number of different zone lists".to_owned(),
                    most: MAX_GROUPS,
                    given: MAX_GROUPS + 1,
                });
            }
        }
        Ok(())
    }

    /// Advances a drain by at most one step of its schedule.
    fn step(&mut self, target: &Target, asked_permille: u16, at_ms: u64) -> Result<(), Refusal> {
        let Some(drain) = self.drains.get_mut(target) else {
            return Err(Refusal::NoDrain {
                target: target.clone(),
            });
        };
        let most = drain
            .moved_permille
            .saturating_add(drain.step_permille)
            .min(WHOLE_PERMILLE);
        let due_ms = drain
            .at_ms
            .max(drain.stepped_at_ms.saturating_add(drain.every_ms));
        if asked_permille > most || at_ms < due_ms {
            return Err(Refusal::StepTooLarge {
                target: target.clone(),
                moved_permille: drain.moved_permille,
                asked_permille,
            });
        }
        drain.moved_permille = asked_permille;
        drain.stepped_at_ms = at_ms;
        Ok(())
    }

    /// Refuses to leave a service without upstreams when it had some before.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::NoRoom`] with the first such service.
    pub fn check_usable_upstreams(
        &self,
        before: &Self,
        topology: &Topology,
    ) -> Result<(), Refusal> {
        for service in &topology.services {
            if before.has_usable_upstream(&service.name, topology)
                && !self.has_usable_upstream(&service.name, topology)
            {
                return Err(Refusal::NoRoom {
                    service: service.name.clone(),
                });
            }
        }
        Ok(())
    }

    fn has_usable_upstream(&self, service: &str, topology: &Topology) -> bool {
        topology.upstreams.iter().any(|upstream| {
            topology.service(upstream.service).name == service
                && self.is_allowed(service, &upstream.name)
                && !self.has_drain(&upstream.name, upstream.zone, topology)
        })
    }

    /// Returns whether a service may use an upstream.
    pub fn is_allowed(&self, service: &str, upstream: &str) -> bool {
        self.allowed
            .get(service)
            .is_none_or(|names| names.contains(upstream))
    }

    fn has_drain(&self, upstream: &str, zone: crate::ZoneId, topology: &Topology) -> bool {
        let region = topology.region(topology.region_of(zone)).name.clone();
        self.drains
            .contains_key(&Target::Upstream(upstream.to_owned()))
            || self
                .drains
                .contains_key(&Target::Zone(topology.zone(zone).name.clone()))
            || self.drains.contains_key(&Target::Region(region))
    }
}

fn check_target(target: &Target, topology: &Topology) -> Result<(), Refusal> {
    match target {
        Target::Upstream(name) => {
            known(topology.upstream_named(name), NameKind::Upstream, name).map(drop)
        }
        Target::Zone(name) => known(topology.zone_named(name), NameKind::Zone, name).map(drop),
        Target::Region(name) => {
            known(topology.region_named(name), NameKind::Region, name).map(drop)
        }
    }
}

fn check_range(what: &str, given: u16, least: u16, most: u16) -> Result<(), Refusal> {
    let (what, given) = (what.to_owned(), u64::from(given));
    if given < u64::from(least) {
        return Err(Refusal::TooLow {
            what,
            least: u64::from(least),
            given,
        });
    }
    if given > u64::from(most) {
        return Err(Refusal::TooHigh {
            what,
            most: u64::from(most),
            given,
        });
    }
    Ok(())
}

fn known<K>(key: Option<K>, kind: NameKind, name: &str) -> Result<K, Refusal> {
    key.ok_or_else(|| Refusal::UnknownName {
        kind,
        name: name.to_owned(),
    })
}
