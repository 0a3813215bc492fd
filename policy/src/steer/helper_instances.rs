use std::net::IpAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::steer::InstanceRecord;

/// Time for which an instance is passed over that could not be reached, or reaches no upstream
/// itself.
const SKIP_TIME: Duration = Duration::from_millis(1_500);

/// Time for which an instance is passed over that has an older configuration; others have a new one
/// a moment later.
const BEHIND_SKIP_TIME: Duration = Duration::from_millis(100);

/// How a request to another instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HelperOutcome {
    /// It was forwarded, or left without an answer by its caller.
    Forwarded,
    /// It was not forwarded, because the instance has an older configuration.
    Behind,
    /// It was not forwarded, or its outcome is not known.
    Failed,
}

/// Other entry instances, which forward requests for an instance that has lost the upstreams.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::{HelperInstances, HelperOutcome, InstanceRecord};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let record = |name: &str, region: &str, address: &str| InstanceRecord {
///     name: name.into(),
///     region: region.into(),
///     address: address.parse().ok(),
/// };
/// let mut helpers = HelperInstances::new("e-1", "mtl");
/// helpers.update(&[record("e-1", "mtl", "10.0.0.1"), record("e-2", "qc", "10.0.0.2")]);
/// let chosen = helpers.choose(&[], &[], now).unwrap();
/// assert_eq!(helpers.name(chosen), "e-2");
/// helpers.begin(chosen);
/// helpers.end(chosen, HelperOutcome::Failed, now);
/// assert!(helpers.choose(&[], &[], now).is_none(), "it is passed over for a while");
/// ```
#[derive(Clone, Debug)]
pub struct HelperInstances {
    own_name: String,
    own_region: String,
    helpers: Vec<Helper>,
}

/// Key of an instance in [`HelperInstances`]; it stays valid after the instance has gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HelperKey(pub u32);

#[derive(Clone, Debug)]
struct Helper {
    name: String,
    region: String,
    address: IpAddr,
    is_listed: bool,
    in_flight: u32,
    skipped_until: Option<Instant>,
}

impl HelperInstances {
    /// Returns the helpers of an instance; none until they are known.
    pub fn new(own_name: &str, own_region: &str) -> Self {
        Self {
            own_name: own_name.to_owned(),
            own_region: own_region.to_owned(),
            helpers: Vec::new(),
        }
    }

    /// Replaces the known entry instances, of which all others with an address are helpers.
    pub fn update(&mut self, instances: &[InstanceRecord]) {
        for helper in &mut self.helpers {
            helper.is_listed = false;
        }
        for record in instances {
            let Some(address) = record.address.filter(|_| record.name != self.own_name) else {
                continue;
            };
            let is_same =
                |helper: &&mut Helper| helper.name == record.name && helper.address == address;
            if let Some(known) = self.helpers.iter_mut().find(is_same) {
                known.is_listed = true;
                continue;
            }
            self.helpers.push(Helper {
                name: record.name.clone(),
                region: record.region.clone(),
                address,
                is_listed: true,
                in_flight: 0,
                skipped_until: None,
            });
        }
    }

    /// Chooses the instance that forwards a request: one in the region of this instance if there is
    /// any, the one with the fewest requests of this instance. A request that is bound to `regions`
    /// goes to instances in these only, and to none in `tried`.
    pub fn choose(
        &self,
        regions: &[String],
        tried: &[HelperKey],
        now: Instant,
    ) -> Option<HelperKey> {
        let keys = (0..self.helpers.len()).map(|index| HelperKey(index as u32));
        let usable = keys.filter(|key| {
            let helper = self.helper(*key);
            helper.is_listed
                && !tried.contains(key)
                && helper.skipped_until.is_none_or(|until| now >= until)
                && (regions.is_empty() || regions.contains(&helper.region))
        });
        usable.min_by_key(|key| {
            let helper = self.helper(*key);
            (helper.region != self.own_region, helper.in_flight, key.0)
        })
    }

    /// Records the start of a request that an instance forwards.
    pub fn begin(&mut self, key: HelperKey) {
        self.helpers[key.0 as usize].in_flight += 1;
    }

    /// Records the end of a request. An instance that did not forward it is passed over for a while.
    pub fn end(&mut self, key: HelperKey, outcome: HelperOutcome, now: Instant) {
        let helper = &mut self.helpers[key.0 as usize];
        helper.in_flight = helper.in_flight.saturating_sub(1);
        helper.skipped_until = match outcome {
            HelperOutcome::Forwarded => None,
            HelperOutcome::Behind => Some(now + BEHIND_SKIP_TIME),
            HelperOutcome::Failed => Some(now + SKIP_TIME),
        };
    }

    /// Returns the number of instances that are known.
    pub fn count(&self) -> usize {
        self.helpers
            .iter()
            .filter(|helper| helper.is_listed)
            .count()
    }

    /// Returns the name of an instance.
    pub fn name(&self, key: HelperKey) -> &str {
        &self.helper(key).name
    }

    /// Returns the address of an instance.
    pub fn address(&self, key: HelperKey) -> IpAddr {
        self.helper(key).address
    }

    /// Returns whether an address is that of a known instance.
    pub fn is_known(&self, address: IpAddr) -> bool {
        let mut listed = self.helpers.iter().filter(|helper| helper.is_listed);
        listed.any(|helper| helper.address == address)
    }

    fn helper(&self, key: HelperKey) -> &Helper {
        &self.helpers[key.0 as usize]
    }
}
