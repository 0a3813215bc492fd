use std::sync::{Arc, Mutex};

use laburnumdeal_model::{RegionId, ServiceId, Topology, ZoneId};
use tokio::time::Instant;
use twox_hash::XxHash64;

use crate::{
    CallerHash, CapKey, CapShares, Ramp, RampSettings, RouteInput, RouteRefusal, ZoneChoice,
    ZoneReason,
};

/// Maximum number of zones that one request is offered to.
pub const MAX_CANDIDATES: usize = 4;

/// Ranks the availability zones for a request and spends the caps that the request needs.
///
/// Reported zone loads are out of date, so they only order the candidates. The destination admits
/// or refuses a request by its own exact counts.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
///
/// use laburnumdeal_model::{BootId, Configuration, InstanceId, ServiceId, Topology, ZoneId};
/// use laburnumdeal_policy::{
///     LookupTable, Membership, MembershipSettings, RampSettings, RouteInput, Router, CapShares,
///     ShareSettings, ZoneLoads,
/// };
/// use tokio::time::Instant;
///
/// let topology = Arc::new(Topology::build(&laburnumdeal_model::embedded_topology())?);
/// let (me, boot, now) = (InstanceId(0), BootId(1), Instant::now());
/// let settings = MembershipSettings::new(1_000);
/// let membership = Membership::new(me, boot, topology.clone(), settings);
/// let shares = CapShares::new(me, boot, topology.clone(), ShareSettings::default(), now);
/// let router = Router::new(ZoneId(0), topology.clone(), shares, RampSettings::default(), now);
/// let input = RouteInput {
///     service: ServiceId(0),
///     caller: "192.0.2.1".parse().unwrap(),
///     hash: 7,
///     table: &LookupTable::build(&Configuration::default(), &topology),
///     membership: &membership,
///     zone_loads: &ZoneLoads::new(2),
///     now,
/// };
/// assert_eq!(router.route(&input)[0].zone, ZoneId(0));
/// # Ok::<(), laburnumdeal_model::TopologyError>(())
/// ```
#[derive(Debug)]
pub struct Router {
    my_zone: ZoneId,
    my_region: RegionId,
    topology: Arc<Topology>,
    shares: CapShares,
    ramp: Mutex<Ramp>,
}

impl Router {
    /// Creates the router of an instance in `my_zone`.
    pub fn new(
        my_zone: ZoneId,
        topology: Arc<Topology>,
        shares: CapShares,
        ramp: RampSettings,
        started: Instant,
    ) -> Self {
        Self {
            my_zone,
            my_region: topology.region_of(my_zone),
            topology,
            shares,
            ramp: Mutex::new(Ramp::new(ramp, started)),
        }
    }

    /// Returns the zones that a request may be sent to, in order of preference.
    pub fn route(&self, input: &RouteInput) -> Vec<ZoneChoice> {
        let home = input
            .table
            .home_zone(input.service, input.caller, self.my_zone);
        let steered = input.table.steered_zones(input.caller).unwrap_or(&[]);
        let mut zones: Vec<RankedZone> = self
            .topology
            .zone_ids()
            .map(|zone| self.ranked_zone(input, steered, home, zone))
            .filter(|ranked_zone| ranked_zone.reason.is_candidate())
            .collect();
        zones.sort_by(RankedZone::compare);
        zones.truncate(MAX_CANDIDATES);
        zones.iter().map(|c| self.zone_choice(home, c)).collect()
    }

    /// Returns every zone with the reason for or against it: the candidates in order of preference,
    /// then the rest.
    pub fn explain(&self, input: &RouteInput) -> Vec<(ZoneId, ZoneReason)> {
        let home = input
            .table
            .home_zone(input.service, input.caller, self.my_zone);
        let steered = input.table.steered_zones(input.caller).unwrap_or(&[]);
        let mut zones: Vec<RankedZone> = self
            .topology
            .zone_ids()
            .map(|zone| self.ranked_zone(input, steered, home, zone))
            .collect();
        zones.sort_by(RankedZone::compare);
        zones.iter().map(|c| (c.zone, c.reason)).collect()
    }

    /// Admits a request to the chosen zone. A request that is served outside its home zone spends
    /// one unit of this instance's share of the shift cap. Call it once per request, on the
    /// instance that received the request from the caller.
    ///
    /// # Errors
    ///
    /// Returns the cap that is exhausted.
    pub fn admit_outgoing(
        &self,
        service: ServiceId,
        choice: &ZoneChoice,
        now: Instant,
    ) -> Result<(), RouteRefusal> {
        if choice.is_shift {
            self.shares.spend(CapKey::Shift(service), 1, now)?;
        }
        Ok(())
    }

    /// Admits a request that is to be served in this zone. It spends one unit of the intake cap of
    /// this region and, when its home is another zone, one request of the ramp.
    ///
    /// # Errors
    ///
    /// Returns the limit that is exhausted.
    pub fn admit_incoming(
        &self,
        service: ServiceId,
        home: ZoneId,
        now: Instant,
    ) -> Result<(), RouteRefusal> {
        let mut ramp = self.ramp.lock().expect("no holder panics");
        if home != self.my_zone {
            ramp.admit(home, service, now)?;
        }
        let intake = CapKey::Region(self.my_region);
        let spent = self.shares.spend(intake, 1, now);
        if spent.is_err() && home != self.my_zone {
            ramp.refund(home, service, now);
        }
        Ok(spent?)
    }

    /// Refunds what [`Router::admit_outgoing`] spent at `admitted_at`. Call it when the chosen zone
    /// refused the request before it ran.
    pub fn refund_outgoing(&self, service: ServiceId, choice: &ZoneChoice, admitted_at: Instant) {
        if choice.is_shift {
            self.shares.refund(CapKey::Shift(service), 1, admitted_at);
        }
    }

    /// Refunds what [`Router::admit_incoming`] spent at `admitted_at`. Call it when the request was
    /// not sent to any upstream.
    pub fn refund_incoming(&self, service: ServiceId, home: ZoneId, admitted_at: Instant) {
        let mut ramp = self.ramp.lock().expect("no holder panics");
        if home != self.my_zone {
            ramp.refund(home, service, admitted_at);
        }
        let intake = CapKey::Region(self.my_region);
        self.shares.refund(intake, 1, admitted_at);
    }

    fn zone_choice(&self, home: ZoneId, ranked_zone: &RankedZone) -> ZoneChoice {
        let region = self.topology.region_of(ranked_zone.zone);
        ZoneChoice {
            zone: ranked_zone.zone,
            reason: ranked_zone.reason,
            is_shift: ranked_zone.zone != home,
            link: (region != self.my_region).then_some(CapKey::Link(self.my_region, region)),
        }
    }

    fn ranked_zone(
        &self,
        input: &RouteInput,
        steered: &[ZoneId],
        home: ZoneId,
        zone: ZoneId,
    ) -> RankedZone {
        let caller_hash = CallerHash::of(input.caller);
        let is_home_moved = input.table.drains().is_moved(home, caller_hash);
        let load = input
            .zone_loads
            .service_load(zone, input.service, input.now);
        let (hash, weight) = match (is_home_moved, load) {
            (true, load) => (caller_hash.value(), load.map_or(1, |load| load.slots)),
            (false, load) => (input.hash, load.map_or(1, |load| load.free())),
        };
        let position = steered.iter().position(|other| *other == zone);
        RankedZone {
            zone,
            reason: self.reason(input, caller_hash, home, zone),
            preference: position.unwrap_or(steered.len()),
            is_remote: self.topology.region_of(zone) != self.my_region,
            is_unknown: zone != self.my_zone && load.is_none(),
            score: score(hash, zone, weight),
        }
    }

    fn reason(
        &self,
        input: &RouteInput,
        caller_hash: CallerHash,
        home: ZoneId,
        zone: ZoneId,
    ) -> ZoneReason {
        let drains = input.table.drains();
        let is_my_zone = zone == self.my_zone;
        if !input.table.runs(input.service, zone) {
            return ZoneReason::NotRunning;
        }
        if drains.is_fully_drained(zone) {
            return ZoneReason::Drained;
        }
        if !is_my_zone && !input.membership.is_reachable(zone, input.now) {
            return ZoneReason::OutOfReach;
        }
        if drains.is_moved(zone, caller_hash) {
            let moved_permille = drains.moved_permille(zone);
            return ZoneReason::Moved { moved_permille };
        }
        if is_my_zone {
            return match zone == home {
                true => ZoneReason::Home,
                false => ZoneReason::Own,
            };
        }
        self.reason_from_load(input, home, zone)
    }

    fn reason_from_load(&self, input: &RouteInput, home: ZoneId, zone: ZoneId) -> ZoneReason {
        let age = input.zone_loads.age(zone, input.now).unwrap_or_default();
        let age_ms = age.as_millis() as u64;
        match input
            .zone_loads
            .service_load(zone, input.service, input.now)
        {
            Some(load) if load.free() == 0 => ZoneReason::Full { age_ms },
            _ if zone == home => ZoneReason::Home,
            Some(load) => ZoneReason::HasRoom {
                free: load.free(),
                age_ms,
            },
            None => ZoneReason::RoomUnknown,
        }
    }
}

/// A zone with the criteria by which zones are ordered.
struct RankedZone {
    zone: ZoneId,
    reason: ZoneReason,
    /// Position among the zones that the caller is steered to, or their number for any other zone.
    preference: usize,
    /// Whether the zone is in another region than this instance.
    is_remote: bool,
    /// Whether the zone is another one than that of this instance and has no recent load of the
    /// service.
    is_unknown: bool,
    score: f64,
}

impl RankedZone {
    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let key = |c: &Self| (c.reason.rank(), c.preference, c.is_remote, c.is_unknown);
        key(self)
            .cmp(&key(other))
            .then(self.score.total_cmp(&other.score))
            .then(self.zone.cmp(&other.zone))
    }
}

/// Weighted rendezvous hash: the zone with the lowest score wins, and each zone wins with a
/// probability proportional to its weight.
fn score(hash: u64, zone: ZoneId, weight: u32) -> f64 {
    let hashed = XxHash64::oneshot(u64::from(zone.0), &hash.to_be_bytes());
    let uniform = ((hashed >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(weight.max(1))
}
