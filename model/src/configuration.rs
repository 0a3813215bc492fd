use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ipnet::IpNet;
use serde::{Deserialize, Serialize};

use crate::{Change, Digest, Items, NameKind, Refusal, Steering, Target, Topology, Version};

/// Number of thousandths in a whole: all of a target's traffic.
pub const WHOLE_PERMILLE: u16 = 1000;

/// Maximum number of different zone lists that blocks can be steered to, one per
/// [`GroupId`](crate::GroupId).
const MAX_GROUPS: u64 = 1 << 16;

/// State that results from all accepted changes. It refers to the topology by name, never by key.
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
    /// Upstreams that each service may use; a service without an entry may use all of its
    /// upstreams.
    pub allowed: BTreeMap<String, BTreeSet<String>>,
    /// Drains by target.
    pub drains: BTreeMap<Target, Drain>,
    /// Caps on the requests of each service that are served outside their own availability zone,
    /// per second.
    pub shift_caps: BTreeMap<String, u64>,
    /// Caps on the requests that each region takes in, per second.
    pub region_caps: BTreeMap<String, u64>,
    /// Caps on the bytes sent over each link, per second; the key is the sending and the receiving
    /// region.
    pub link_caps: BTreeMap<(String, String), u64>,
    /// Zones that blocks of callers are steered to; shared between versions that do not change it.
    pub steering: Arc<Steering>,
    /// Routes, services and limits; shared between versions that do not change them.
    pub items: Arc<Items>,
}

/// A drain and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Start, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Length of the period; with 0 the drain lasts until it is ended.
    pub for_ms: u64,
    /// Thousandths of the target's traffic that move in one step.
    pub step_permille: u16,
    /// Time between two steps.
    pub every_ms: u64,
    /// Thousandths of the target's traffic that have moved.
    pub moved_permille: u16,
    /// Time of the last step, in milliseconds since the Unix epoch.
    pub stepped_at_ms: u64,
}

impl Configuration {
    /// Returns the configuration after a change at `at_ms`.
    ///
    /// `force` accepts a change that leaves a service without usable upstreams. [`Change::Revert`]
    /// needs an earlier configuration and is always refused; use [`Configuration::restore`]
    /// instead.
    ///
    /// # Errors
    ///
    /// Returns the reason why the change is refused, which is sent to the operator.
    pub fn apply(
        &self,
        change: &Change,
        topology: &Topology,
        at_ms: u64,
        force: bool,
    ) -> Result<Self, Refusal> {
        let mut next = self.clone();
        next.version = self.version.next();
        next.apply_in_place(change, topology, at_ms)?;
        if !force {
            next.check_usable_upstreams(self, topology)?;
        }
        Ok(next)
    }

    /// Returns the next version with the contents of `earlier`, except for the items, which
    /// have versions of their own and stay as they are.
    pub fn restore(&self, earlier: &Self) -> Self {
        Self {
            version: self.version.next(),
            items: self.items.clone(),
            ..earlier.clone()
        }
    }

    /// Returns a hash of the contents, which is equal on instances with equal contents.
    pub fn digest(&self) -> Digest {
        let contents = (
            self.version,
            &self.allowed,
            &self.drains,
            &self.shift_caps,
            &self.region_caps,
            &self.link_caps,
            &*self.items,
        );
        let bytes = rmp_serde::to_vec(&contents).expect("plain data encodes");
        Digest::of(&[&bytes, &self.steering.digest().0])
    }

    /// Returns the thousandths of an upstream's traffic that must go elsewhere: the most that a
    /// drain of the upstream, its zone or its region has moved. The arguments are names.
    pub fn moved_permille(&self, upstream: &str, zone: &str, region: &str) -> u16 {
        let targets = [
            Target::Upstream(upstream.to_owned()),
            Target::Zone(zone.to_owned()),
            Target::Region(region.to_owned()),
        ];
        let drains = targets.iter().filter_map(|target| self.drains.get(target));
        drains.map(|drain| drain.moved_permille).max().unwrap_or(0)
    }

    fn apply_in_place(
        &mut self,
        change: &Change,
        topology: &Topology,
        at_ms: u64,
    ) -> Result<(), Refusal> {
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
            } => self.advance_drain(target, *moved_permille, at_ms),
            Change::CapShift {
                service,
                requests_per_s,
            } => {
                require_known(topology.service_named(service), NameKind::Service, service)?;
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
                require_known(topology.region_named(from), NameKind::Region, from)?;
                require_known(topology.region_named(to), NameKind::Region, to)?;
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
        let service_id =
            require_known(topology.service_named(service), NameKind::Service, service)?;
        if upstreams.is_empty() {
            return Err(Refusal::EmptyList {
                what: format!("upstreams of {service}"),
            });
        }
        for name in upstreams {
            let id = require_known(topology.upstream_named(name), NameKind::Upstream, name)?;
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
        let id = require_known(topology.region_named(region), NameKind::Region, region)?;
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
            require_known(topology.zone_named(zone), NameKind::Zone, zone)?;
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

    /// Advances a drain by at most one step, not before the step is due.
    fn advance_drain(
        &mut self,
        target: &Target,
        asked_permille: u16,
        at_ms: u64,
    ) -> Result<(), Refusal> {
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

    /// Checks that every service that had usable upstreams in `before` still has one. An upstream
    /// is usable if its service may use it and no drain covers it.
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
            require_known(topology.upstream_named(name), NameKind::Upstream, name).map(drop)
        }
        Target::Zone(name) => {
            require_known(topology.zone_named(name), NameKind::Zone, name).map(drop)
        }
        Target::Region(name) => {
            require_known(topology.region_named(name), NameKind::Region, name).map(drop)
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

fn require_known<K>(key: Option<K>, kind: NameKind, name: &str) -> Result<K, Refusal> {
    key.ok_or_else(|| Refusal::UnknownName {
        kind,
        name: name.to_owned(),
    })
}
