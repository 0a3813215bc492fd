use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

/// Use of the links of a region from which callers are sent to others as well. Packets wait behind
/// large bodies long before a link is full: at four tenths a request that crosses it four times
/// waits for about as long as the way to another region takes.
const MAX_USE: f64 = 0.4;

/// Use of the links of a region up to which it gets callers of others. Beyond it the answers to its
/// own callers would be late for those of another region.
const MAX_OTHER_USE: f64 = 0.35;

/// Change of the part that is sent to another region, per second and unit of use beyond the bounds.
/// Callers follow a change after some seconds, since they keep answers.
const GAIN_PER_S: f64 = 0.4;

/// Window in which the part of the requests that change their region is bounded.
const SHIFT_WINDOW: Duration = Duration::from_secs(2);

/// Fraction of that bound that the spread of callers may use. The rest is for the shares of regions,
/// which follow the upstreams.
const BOUND_FRACTION: f64 = 0.6;

/// Largest part of the callers of a region that is sent to others.
const MAX_AWAY: f64 = 0.6;

/// Longest time that one update accounts for, so that parts do not jump after a pause.
const MAX_STEP: Duration = Duration::from_millis(500);

/// Parts of the callers of one region that are sent to entry instances of other regions, because the
/// links of those of their own are busy and others have room. The parts follow the use slowly: all
/// control instances see the same use and act on it, requests run in another region once their callers
/// are sent there, and a part that follows too fast swings.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
/// use std::time::Duration;
/// use laburnumdeal_policy::steer::CallerSpread;
/// use tokio::time::Instant;
///
/// let start = Instant::now();
/// let uses = BTreeMap::from([("cairo".to_owned(), 0.9), ("delta".to_owned(), 0.1)]);
/// let mut spread = CallerSpread::new(0.15);
/// spread.update("cairo", &uses, start);
/// assert_eq!(spread.part("delta"), 0.0);
/// spread.update("cairo", &uses, start + Duration::from_millis(500));
/// assert!(spread.part("delta") > 0.0);
/// ```
#[derive(Clone, Debug)]
pub struct CallerSpread {
    max_change_per_s: f64,
    parts: BTreeMap<String, f64>,
    updated_at: Option<Instant>,
}

impl CallerSpread {
    /// Returns the spread of a region whose callers all stay. `max_region_shift` is the largest part
    /// of the requests of one region that may change the region in which they run within 2 s; with
    /// none, or one that is no number, all callers stay.
    pub fn new(max_region_shift: f64) -> Self {
        let bound = max_region_shift.max(0.0) * BOUND_FRACTION;
        Self {
            max_change_per_s: bound / SHIFT_WINDOW.as_secs_f64(),
            parts: BTreeMap::new(),
            updated_at: None,
        }
    }

    /// Returns the part of the callers that is sent to another region.
    pub fn part(&self, region: &str) -> f64 {
        self.parts.get(region).copied().unwrap_or(0.0)
    }

    /// Returns the parts that are sent to other regions, with these.
    pub fn parts(&self) -> impl Iterator<Item = (&str, f64)> {
        self.parts
            .iter()
            .map(|(region, part)| (region.as_str(), *part))
    }

    /// Returns the part of the callers that is sent to any other region.
    pub fn total(&self) -> f64 {
        self.parts.values().sum()
    }

    /// Adapts the parts of the callers of the region `own` to the uses of the links by region. A
    /// region without a known use gets no further callers, and loses those that it has.
    pub fn update(&mut self, own: &str, uses: &BTreeMap<String, f64>, now: Instant) {
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(updated_at).min(MAX_STEP);
        let Some(own_use) = uses.get(own).copied() else {
            return;
        };
        for region in uses.keys().filter(|region| *region != own) {
            self.parts.entry(region.clone()).or_insert(0.0);
        }
        let others = self.parts.len().max(1) as f64;
        let max_change = self.max_change_per_s / others * elapsed.as_secs_f64();
        let available = MAX_AWAY - self.total();
        for (region, part) in &mut self.parts {
            let excess = match uses.get(region) {
                Some(other_use) => (own_use - MAX_USE).min(MAX_OTHER_USE - other_use),
                None => -1.0,
            };
            let change = excess * GAIN_PER_S * elapsed.as_secs_f64();
            let change = change.clamp(-max_change, max_change.min(available.max(0.0) / others));
            *part = (*part + change).max(0.0);
        }
        self.parts
            .retain(|region, part| *part > 0.0 || uses.contains_key(region));
    }
}
