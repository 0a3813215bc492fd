use std::time::Duration;

use tokio::time::Instant;

use crate::steer::upstream_entry::UpstreamEntry;
use crate::steer::{LoadBalancer, RegionWeight};

/// Weight of an upstream in this instance's region in the rendezvous hash, and of an instance in the
/// limits on upstreams of its region; 1 in other regions.
pub(super) const LOCAL_WEIGHT: f64 = 8.0;

/// Fraction of its weight with which an upstream counts in the weight of its region while it is cold
/// or has named a limit. A region would otherwise send the part of such upstreams to its others.
const RESTRICTED_FRACTION: f64 = 0.1;

/// Fraction of the slots in use at which a region counts as full.
const FULL_UTILIZATION: f64 = 0.8;

/// Fraction of the slots of a region whose use must be known to tell its utilization.
const MIN_KNOWN_FRACTION: f64 = 0.1;

/// Minimum interval of updates of the regions' shares by requests.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Share of a region in the requests of a service, as a bound lets it follow the upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct RegionShare {
    /// Name of the service.
    pub service: String,
    /// Name of the region.
    pub region: String,
    /// Share from 0 to 1.
    pub share: f64,
    /// Whether the shares of the service are on the way to those that its upstreams give.
    pub is_moving: bool,
}

/// Requests and slots of the upstreams of one region.
#[derive(Clone, Copy, Debug, Default)]
struct Room {
    requests: f64,
    slots: f64,
    /// Requests and slots of those among them whose load is known.
    known_requests: f64,
    known_slots: f64,
}

impl Room {
    fn add(&mut self, entry: &UpstreamEntry, knee: f64, now: Instant) {
        let slots = entry.slots_taken_well(knee);
        self.requests += entry.load.estimated_requests(now);
        self.slots += slots;
        if let Some(utilization) = entry.utilization(knee, now) {
            self.known_requests += utilization * slots;
            self.known_slots += slots;
        }
    }

    /// Returns the fraction of the slots in use, if it is known.
    fn utilization(&self) -> Option<f64> {
        let is_known =
            self.known_slots > 0.0 && self.known_slots >= self.slots * MIN_KNOWN_FRACTION;
        is_known.then(|| self.known_requests / self.known_slots)
    }

    fn is_full(&self) -> bool {
        self.slots > 0.0 && self.requests >= self.slots * FULL_UTILIZATION
    }
}

impl LoadBalancer {
    /// Returns the shares of the regions with upstreams, by service.
    pub fn region_shares(&self) -> Vec<RegionShare> {
        let mut all = Vec::new();
        for (service, key) in &self.service_keys {
            let shares = &self.region_shares[key.0 as usize];
            let regions = self.regions.iter().enumerate();
            let regions = regions.filter(|(index, _)| shares.share(*index) > 0.0);
            all.extend(regions.map(|(index, region)| RegionShare {
                service: service.clone(),
                region: region.clone(),
                share: shares.share(index),
                is_moving: shares.is_moving(),
            }));
        }
        all
    }

    /// Returns the weight of an upstream in the rendezvous hash.
    pub(super) fn weight(&self, entry: &UpstreamEntry) -> f64 {
        let is_local = entry.region == self.own_region;
        let room = self.region_rooms[entry.service.0 as usize][entry.region.0 as usize];
        let local = if is_local { LOCAL_WEIGHT } else { 1.0 };
        f64::from(entry.record.slots.max(1)) * local * room.factor()
    }

    /// Returns the fraction of its weight with which an upstream counts in that of its region.
    pub(super) fn weight_fraction(&self, entry: &UpstreamEntry, now: Instant) -> f64 {
        match entry.is_cold(now) || entry.limit.is_some() {
            true => RESTRICTED_FRACTION,
            false => 1.0,
        }
    }

    /// Updates the shares of the regions, unless they were updated a short while ago.
    pub(super) fn update_region_shares_if_due(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= UPDATE_INTERVAL;
        if self.region_shares_at.is_none_or(is_due) {
            self.update_region_shares(now);
        }
    }

    /// Updates the shares of the regions from the weights of their upstreams.
    pub(super) fn update_region_shares(&mut self, now: Instant) {
        self.region_shares_at = Some(now);
        let none = vec![RegionWeight::default(); self.regions.len()];
        let mut by_service = vec![none; self.region_shares.len()];
        let rooms = self.rooms(now);
        // The weights follow the factors, so that the shares bound what a change moves.
        if self.settings.places_by_room {
            self.update_region_rooms(&rooms, now);
        }
        for index in 0..self.entries().len() {
            let entry = &self.entries()[index];
            if !entry.is_listed && entry.counted_weight == 0.0 {
                continue;
            }
            let weight = self.region_weight(entry, now);
            let sum = &mut by_service[entry.service.0 as usize][entry.region.0 as usize];
            sum.steady += weight.steady;
            sum.current += weight.current;
            let (has_failed, is_whole) =
                (self.has_failed(entry), weight.current >= self.weight(entry));
            let entry = &mut self.entries_mut()[index];
            entry.is_released = has_failed || (entry.is_released && !is_whole);
            entry.counted_weight = weight.current;
        }
        let services = self.region_shares.iter_mut().zip(by_service).zip(rooms);
        for ((shares, mut weights), rooms) in services {
            for (weight, room) in weights.iter_mut().zip(rooms) {
                weight.is_full = room.is_full();
            }
            shares.update(&weights, now);
        }
    }

    /// Returns the requests and slots of each region, by the key of the service.
    fn rooms(&self, now: Instant) -> Vec<Vec<Room>> {
        let no_room = vec![Room::default(); self.regions.len()];
        let mut rooms = vec![no_room; self.region_shares.len()];
        let mut knees = vec![1.0; self.region_shares.len()];
        for (service, key) in &self.service_keys {
            knees[key.0 as usize] = self.knee(service, now);
        }
        for entry in self.entries().iter().filter(|entry| entry.is_listed) {
            if self.region_weight(entry, now).current > 0.0 {
                let service = entry.service.0 as usize;
                rooms[service][entry.region.0 as usize].add(entry, knees[service], now);
            }
        }
        rooms
    }

    /// Adapts the factors of all regions to their utilization.
    fn update_region_rooms(&mut self, rooms: &[Vec<Room>], now: Instant) {
        let services = self.region_rooms.iter_mut().zip(rooms);
        let regions = services.flat_map(|(factors, rooms)| factors.iter_mut().zip(rooms));
        regions.for_each(|(factor, room)| factor.update(room.utilization(), now));
    }

    /// Returns what an upstream adds to the weight of its region. Failures, evacuations and the
    /// return from them change the steady part as well.
    fn region_weight(&self, entry: &UpstreamEntry, now: Instant) -> RegionWeight {
        let has_failed = self.has_failed(entry);
        let is_used = entry.is_in_service() && !has_failed;
        // The first shares are those of instances that run already, so all upstreams count whole.
        let is_first = !self.region_shares[entry.service.0 as usize].is_set();
        let fraction = match is_used {
            false => 0.0,
            true if is_first => 1.0,
            true => self.weight_fraction(entry, now),
        };
        let current = self.weight(entry) * fraction;
        let is_steady = has_failed || entry.is_released;
        let steady = if is_steady {
            current
        } else {
            entry.counted_weight
        };
        RegionWeight {
            steady,
            current,
            is_full: false,
        }
    }

    fn has_failed(&self, entry: &UpstreamEntry) -> bool {
        entry.has_failed() || self.evacuated_zones.contains(&entry.record.zone)
    }
}
