use std::collections::HashMap;
use std::time::Duration;

use crate::customers::fair_count::{FairCount, MEMORY, weight};
use crate::customers::fair_level::fair_level;
use crate::customers::{BootTime, FairCustomer, FairRefusal, FairStanding};

/// Time after a request was refused for want of room in which room counts as short.
pub(super) const SHORT_TIME: Duration = Duration::from_secs(3);

/// Longest time for which a level is used.
const LEVEL_LENGTH: Duration = Duration::from_millis(100);

/// Part by which shares grow in each second without a request that was refused for want of room, so
/// that room that has come back is found out.
const GROWTH_PER_S: f64 = 0.5;

/// Weight of the requests of a customer below which it is forgotten.
const MIN_WANTED: f64 = 0.1;

/// Shortest time after which a caller is told to come back.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(60);

/// Customers whose requests compete for the same places.
#[derive(Clone, Debug)]
pub(super) struct FairGroup {
    customers: HashMap<FairCustomer, FairCount>,
    /// Largest weight of places that a customer may have, by the room when it was decided.
    level: f64,
    decided_at: BootTime,
    /// Weight of the places that were taken when the level was decided, and number of those since.
    room: f64,
    taken: u32,
    refused_at: Option<BootTime>,
    withheld_at: Option<BootTime>,
}

impl FairGroup {
    pub fn new(now: BootTime) -> Self {
        Self {
            customers: HashMap::new(),
            level: f64::INFINITY,
            decided_at: now,
            room: 0.0,
            taken: 0,
            refused_at: None,
            withheld_at: None,
        }
    }

    /// Counts a request that has just arrived; returns whether its customer has its share already
    /// while room is short.
    pub fn arrive(&mut self, customer: FairCustomer, now: BootTime) -> bool {
        let count = self.customers.entry(customer).or_default();
        count.add_arrival(now);
        let admitted = count.admitted();
        let Some(short_for) = self.short_for(now) else {
            return false;
        };
        if now.since(self.decided_at) >= LEVEL_LENGTH {
            self.decide(now);
        }
        let level = self.live_level(now);
        let growth = 1.0 + GROWTH_PER_S * short_for.as_secs_f64();
        // Requests that come at random exceed their mean by the root of their number.
        admitted >= level * growth + level.sqrt()
    }

    pub fn admit(&mut self, customer: FairCustomer, now: BootTime) {
        let count = self.customers.entry(customer).or_default();
        count.add_admission(now);
        self.taken += 1;
    }

    pub fn give_back(&mut self, customer: FairCustomer, admitted_at: BootTime, now: BootTime) {
        if let Some(count) = self.customers.get_mut(&customer) {
            count.give_back(admitted_at, now);
        }
    }

    /// Notes that a request was refused for want of room.
    pub fn run_short(&mut self, now: BootTime) {
        if self.short_for(now).is_none() {
            self.decide(now);
        }
        self.refused_at = Some(now);
    }

    /// Refuses a request beyond its customer's share. Successive refusals name the times of
    /// successive places of the share.
    pub fn withhold(&mut self, customer: FairCustomer, now: BootTime) -> FairRefusal {
        self.withheld_at = Some(now);
        let standing = self.standing(customer, now).unwrap_or_default();
        let count = self.customers.entry(customer).or_default();
        let share = standing.share_per_s.max(1e-3);
        let places = (share * MEMORY.as_secs_f64()).ceil() as u32;
        let place = 1 + count.add_refusal() % places.max(1);
        let excess = (standing.admitted_per_s / share).max(1.0).ln();
        let retry_after_s = MEMORY.as_secs_f64() * excess + f64::from(place) / share;
        // By the longest time the share binds no more, unless another request is refused.
        let longest_s = SHORT_TIME.as_secs_f64();
        let retry_after = Duration::from_secs_f64(retry_after_s.min(longest_s));
        FairRefusal::OverShare {
            retry_after: retry_after.max(MIN_RETRY_AFTER),
            standing,
        }
    }

    /// Returns the time since a request was refused beyond its customer's share, while that counts.
    pub fn withheld_age(&self, now: BootTime) -> Option<Duration> {
        self.short_for(now)?;
        let age = now.since(self.withheld_at?);
        Some(age).filter(|age| *age < SHORT_TIME)
    }

    pub fn standing(&self, customer: FairCustomer, now: BootTime) -> Option<FairStanding> {
        let mut count = *self.customers.get(&customer)?;
        count.advance(now);
        let per_s = |weight: f64| weight / MEMORY.as_secs_f64();
        let (level, age) = match self.short_for(now) {
            Some(_) => (self.live_level(now), now.since(self.decided_at)),
            None => (f64::INFINITY, Duration::ZERO),
        };
        Some(FairStanding {
            share_per_s: per_s(level.min(count.wanted())),
            admitted_per_s: per_s(count.admitted()),
            wanted_per_s: per_s(count.wanted()),
            age,
        })
    }

    /// Drops customers without a recent request.
    pub fn sweep(&mut self, now: BootTime) {
        self.customers.retain(|_, count| {
            count.advance(now);
            count.wanted() > MIN_WANTED
        });
    }

    pub fn len(&self) -> usize {
        self.customers.len()
    }

    /// Returns the time since a request was refused for want of room, while that counts.
    fn short_for(&self, now: BootTime) -> Option<Duration> {
        let refused_at = self.refused_at?;
        Some(now.since(refused_at)).filter(|age| *age < SHORT_TIME)
    }

    fn decide(&mut self, now: BootTime) {
        self.sweep(now);
        let counts = self.customers.values();
        self.room = counts.clone().map(FairCount::admitted).sum();
        self.taken = 0;
        self.decided_at = now;
        // One alone takes nobody's place, and without a place nothing is known of the room.
        self.level = match self.customers.len() < 2 || self.room <= 0.0 {
            true => f64::INFINITY,
            false => fair_level(counts.map(FairCount::wanted).collect(), self.room),
        };
    }

    /// Returns the level with the places that were taken since it was decided.
    fn live_level(&self, now: BootTime) -> f64 {
        if self.level.is_infinite() {
            return self.level;
        }
        let growth = 1.0 + f64::from(self.taken) / self.room;
        self.level * growth * weight(now.since(self.decided_at))
    }
}
