use std::collections::HashMap;
use std::time::Duration;

use crate::customers::fair_group::{FairGroup, MIN_RETRY_AFTER, SHORT_TIME};
use crate::customers::{BootTime, FairClass, FairCustomer, FairRefusal, FairStanding};
use crate::steer::Places;

/// Interval at which customers without recent requests are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Fair shares of the customers that use an instance in the places that it gets for their requests:
/// max-min by customer within each service and priority. They bind only while requests are refused
/// for want of room.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::customers::{BootTime, FairClass, FairCustomer, FairShares};
/// use laburnumdeal_policy::steer::Places;
///
/// let mut shares = FairShares::default();
/// let (now, class) = (BootTime::default(), FairClass::new("catalog", 1));
/// let (large, small) = (FairCustomer::new("large"), FairCustomer::new("small"));
/// for _ in 0..30 {
///     assert_eq!(shares.arrive(class, large, now), Places::All);
///     shares.admit(class, large, now);
/// }
/// for _ in 0..10 {
///     assert_eq!(shares.arrive(class, small, now), Places::All);
/// }
/// shares.run_short(class, now);
/// assert_eq!(shares.arrive(class, large, now), Places::Spare);
/// assert_eq!(shares.arrive(class, small, now), Places::All);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    groups: HashMap<FairClass, FairGroup>,
    swept_at: BootTime,
}

impl FairShares {
    /// Counts a request of a customer that has just arrived. Returns the places that it
    /// may take. One beyond its customer's share may take only what would stay empty; one that is
    /// less urgent than such a request yields to it.
    pub fn arrive(&mut self, class: FairClass, customer: FairCustomer, now: BootTime) -> Places {
        self.sweep(now);
        let yields = self.more_urgent_age(class, now).is_some();
        match (self.group(class, now).arrive(customer, now), yields) {
            (true, _) => Places::Spare,
            (false, true) => Places::Idle,
            (false, false) => Places::All,
        }
    }

    /// Counts a request that got a place.
    pub fn admit(&mut self, class: FairClass, customer: FairCustomer, now: BootTime) {
        self.group(class, now).admit(customer, now);
    }

    /// Gives back the place that a request got at a time, and then did not run.
    pub fn give_back(
        &mut self,
        class: FairClass,
        customer: FairCustomer,
        admitted_at: BootTime,
        now: BootTime,
    ) {
        let group = self.group(class, now);
        group.give_back(customer, admitted_at, now);
    }

    /// Notes that a request was refused for want of room, whatever its customer had.
    pub fn run_short(&mut self, class: FairClass, now: BootTime) {
        self.group(class, now).run_short(now);
    }

    /// Refuses a request that may not take the place that there is, as only some were left to it.
    pub fn refuse(
        &mut self,
        class: FairClass,
        customer: FairCustomer,
        places: Places,
        now: BootTime,
    ) -> FairRefusal {
        if places == Places::Idle {
            let age = self.more_urgent_age(class, now).unwrap_or_default();
            let retry_after = SHORT_TIME.saturating_sub(age).max(MIN_RETRY_AFTER);
            return FairRefusal::LessUrgent { retry_after, age };
        }
        self.group(class, now).withhold(customer, now)
    }

    /// Returns the standing of a customer in all classes together; `None` without recent requests.
    pub fn standing(&self, customer: FairCustomer, now: BootTime) -> Option<FairStanding> {
        let groups = self.groups.values();
        let standings = groups.filter_map(|group| group.standing(customer, now));
        standings.reduce(FairStanding::plus)
    }

    /// Returns the number of counts that are kept, of all customers and classes.
    pub fn len(&self) -> usize {
        self.groups.values().map(FairGroup::len).sum()
    }

    /// Returns whether no count is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the time since a more urgent request of the service was refused beyond its customer's
    /// share, while that counts.
    fn more_urgent_age(&self, class: FairClass, now: BootTime) -> Option<Duration> {
        let groups = class
            .more_urgent()
            .filter_map(|class| self.groups.get(&class));
        groups.filter_map(|group| group.withheld_age(now)).min()
    }

    fn group(&mut self, class: FairClass, now: BootTime) -> &mut FairGroup {
        let groups = self.groups.entry(class);
        groups.or_insert_with(|| FairGroup::new(now))
    }

    fn sweep(&mut self, now: BootTime) {
        if now.since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.groups.retain(|_, group| {
            group.sweep(now);
            group.len() > 0
        });
    }
}
