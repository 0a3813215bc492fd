use std::sync::{Arc, Mutex};

use laburnumdeal_model::{RegionId, ServiceId, Topology, ZoneId};
use tokio::time::Instant;
use twox_hash::XxHash64;

use crate::{
    CallerHash, CapKey, CapShares, Ramp, RampSettings, RouteInput, RouteRefusal, ZoneChoice,
    ZoneReason,
};

/// Most zones that one request is offered to.
pub const MAX_CANDIDATES: usize = 4;

/// Choice between availability zones, and the caps that a request spends on its way.
///
/// Digests lag, so they only order the candidates; admission is up to the destination's own counts.
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
    /// Returns the router of an instance in `my_zone`.
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

    /// Returns the zones that a request may be sent to, the preferred one first.
    pub fn route(&self, input: &RouteInput) -> Vec<ZoneChoice> {
        let home = input
            .table
            .home_zone(input.service, input.caller, self.my_zone);
        let steered = input.table.steered_zones(input.caller).unwrap_or(&[]);
        let mut candidates: Vec<Candidate> = self
            .topology
            .zone_ids()
            .map(|zone| self.candidate(input, steered, home, zone))
            .filter(|candidate| candidate.reason.is_candidate())
            .collect();
        candidates.sort_by(Candidate::compare);
        candidates.truncate(MAX_CANDIDATES);
        candidates.iter().map(|c| self.choice(home, c)).collect()
    }

    /// Returns every zone with the reason for or against it: candidates in order, then the rest.
    pub fn explain(&self, input: &RouteInput) -> Vec<(ZoneId, ZoneReason)> {
        let home = input
            .table
            .home_zone(input.service, input.caller, self.my_zone);
        let steered = input.table.steered_zones(input.caller).unwrap_or(&[]);
        let mut candidates: Vec<Candidate> = self
            .topology
            .zone_ids()
            .map(|zone| self.candidate(input, steered, home, zone))
            .collect();
        candidates.sort_by(Candidate::compare);
        candidates.iter().map(|c| (c.zone, c.reason)).collect()
    }

    /// Spends what a request needs to be served in the chosen zone: a shift share when that is not
    /// its home. Call it once, on the instance that took the request from the caller.
    ///
    /// # Errors
    ///
    /// Returns the cap that is used up.
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

    /// Admits a request that is to be served in this zone: spends the ramp when its home is another
    /// zone, and the intake of this region.
    ///
    /// # Errors
    ///
    /// Returns the limit that is used up.
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
        let is_spent = self.shares.spend(intake, 1, now);
        if is_spent.is_err() && home != self.my_zone {
            ramp.take_back(home, service, now);
        }
        Ok(is_spent?)
    }

    /// Takes back what [`Router::admit_outgoing`] spent at `departed_at`, when the chosen zone refused the
    /// request before it ran.
    pub fn refund_outgoing(&self, service: ServiceId, choice: &ZoneChoice, departed_at: Instant) {
        if choice.is_shift {
            self.shares.refund(CapKey::Shift(service), 1, departed_at);
        }
    }

    /// Takes back what [`Router::admit_incoming`] spent at `arrived_at`, when the request was not sent to
    /// any upstream.
    pub fn refund_incoming(&self, service: ServiceId, home: ZoneId, arrived_at: Instant) {
        let mut ramp = self.ramp.lock().expect("no holder panics");
        if home != self.my_zone {
            ramp.take_back(home, service, arrived_at);
        }
        let intake = CapKey::Region(self.my_region);
        self.shares.refund(intake, 1, arrived_at);
    }

    fn choice(&self, home: ZoneId, candidate: &Candidate) -> ZoneChoice {
        let region = self.topology.region_of(candidate.zone);
        ZoneChoice {
            zone: candidate.zone,
            reason: candidate.reason,
            is_shift: candidate.zone != home,
            link: (region != self.my_region).then_some(CapKey::Link(self.my_region, region)),
        }
    }

    fn candidate(
        &self,
        input: &RouteInput,
        steered: &[ZoneId],
        home: ZoneId,
        zone: ZoneId,
    ) -> Candidate {
        let slot = CallerHash::of(input.caller);
        let is_home_moved = input.table.drains().is_moved(home, slot);
        let room = input
            .zone_loads
            .service_load(zone, input.service, input.now);
        let (hash, weight) = match (is_home_moved, room) {
            (true, room) => (slot.value(), room.map_or(1, |room| room.slots)),
            (false, room) => (input.hash, room.map_or(1, |room| room.free())),
        };
        let position = steered.iter().position(|other| *other == zone);
        Candidate {
            zone,
            reason: self.reason(input, slot, home, zone),
            preference: position.unwrap_or(steered.len()),
            is_far: self.topology.region_of(zone) != self.my_region,
            is_unknown: zone != self.my_zone && room.is_none(),
            score: score(hash, zone, weight),
        }
    }

    fn reason(
        &self,
        input: &RouteInput,
        slot: CallerHash,
        home: ZoneId,
        zone: ZoneId,
    ) -> ZoneReason {
        let drains = input.table.drains();
        let is_mine = zone == self.my_zone;
        if !input.table.runs(input.service, zone) {
            return ZoneReason::NotRunning;
        }
        if drains.is_fully_drained(zone) {
            return ZoneReason::Drained;
        }
        if !is_mine && !input.membership.is_reachable(zone, input.now) {
            return ZoneReason::OutOfReach;
        }
        if drains.is_moved(zone, slot) {
            let moved_permille = drains.moved_permille(zone);
            return ZoneReason::Moved { moved_permille };
        }
        if is_mine {
            return match zone == home {
                true => ZoneReason::Home,
                false => ZoneReason::Own,
            };
        }
        self.reason_of_room(input, home, zone)
    }

    fn reason_of_room(&self, input: &RouteInput, home: ZoneId, zone: ZoneId) -> ZoneReason {
        let age = input.zone_loads.age(zone, input.now).unwrap_or_default();
        let age_ms = age.as_millis() as u64;
        match input
            .zone_loads
            .service_load(zone, input.service, input.now)
        {
            Some(room) if room.free() == 0 => ZoneReason::Full { age_ms },
            _ if zone == home => ZoneReason::Home,
            Some(room) => ZoneReason::HasRoom {
                free: room.free(),
                age_ms,
            },
            None => ZoneReason::RoomUnknown,
        }
    }
}

/// One zone with what its place in the order depends on.
struct Candidate {
    zone: ZoneId,
    reason: ZoneReason,
    preference: usize,
    is_far: bool,
    is_unknown: bool,
    score: f64,
}

impl Candidate {
    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let place = |c: &Self| (c.reason.rank(), c.preference, c.is_far, c.is_unknown);
        place(self)
            .cmp(&place(other))
            .then(self.score.total_cmp(&other.score))
            .then(self.zone.cmp(&other.zone))
    }
}

/// Weighted rendezvous score: the lowest wins, with a chance in proportion to its weight.
fn score(hash: u64, zone: ZoneId, weight: u32) -> f64 {
    let mixed = XxHash64::oneshot(u64::from(zone.0), &hash.to_be_bytes());
    let uniform = ((mixed >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
    -uniform.ln() / f64::from(weight.max(1))
}
