use std::time::Duration;

use tokio::time::Instant;

/// Window in which the bound on changes of the shares holds.
const BOUND_WINDOW: Duration = Duration::from_secs(2);

/// Fraction of the bound by which the shares change. The rest is left to the randomness of arrivals
/// and to instances that hear of a change later than others.
const BOUND_FRACTION: f64 = 0.7;

/// Longest time that one update accounts for, so that shares do not jump after a pause.
const MAX_STEP: Duration = Duration::from_millis(500);

/// Time in which a region that is full loses half of what it has above its weight.
const FULL_HALF_LIFE: Duration = Duration::from_millis(200);

/// Largest difference of a share from its target that is not a change on its way.
const MIN_DIFFERENCE: f64 = 1e-6;

/// Weight of one region in the choice of upstreams, before and after a change.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionWeight {
    /// Weight that remains of the last one after upstreams failed or were evacuated; it includes
    /// those that are back from that. The share of the region follows it at once.
    pub steady: f64,
    /// Weight now, after upstreams joined, left, became cold or warmed up as well. The share
    /// follows these changes at the bounded rate.
    pub current: f64,
    /// Whether its upstreams have no room for more requests.
    pub is_full: bool,
}

/// Weight of the upstreams of one region that a request may be sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EligibleWeight {
    /// Of those that accept it, as they count in the weight of the region.
    pub open: f64,
    /// Of those among them at which this instance has not used up its quota.
    pub eligible: f64,
}

/// Share of each region in the requests that an instance sends for a service. The shares follow the
/// weights of the regions, but no faster than a bound allows, because all instances hear of a
/// change at the same moment. Since every instance bounds its own shares, the sum over all
/// instances keeps the bound as well. What a full region cannot serve is not held back.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::{EligibleWeight, RegionShares, RegionWeight};
/// use std::time::Duration;
/// use tokio::time::Instant;
///
/// let weight = |steady, current| RegionWeight { steady, current, is_full: false };
/// let start = Instant::now();
/// let mut shares = RegionShares::new(0.15);
/// shares.update(&[weight(5.0, 5.0), weight(5.0, 5.0)], start);
/// shares.record_request(start);
/// // Most of the first region leaves; its share shrinks by a few hundredths only.
/// shares.update(&[weight(5.0, 1.0), weight(5.0, 5.0)], start + Duration::from_millis(500));
/// assert!((0.45..0.5).contains(&shares.share(0)));
/// // The few that remain get more of the requests than their weight would give them.
/// let weights = [1.0, 5.0].map(|weight| EligibleWeight { open: weight, eligible: weight });
/// assert!(shares.factors(&weights)[0] > 2.0);
/// ```
#[derive(Clone, Debug)]
pub struct RegionShares {
    max_change_per_s: f64,
    shares: Vec<f64>,
    /// Shares that the weights give.
    targets: Vec<f64>,
    updated_at: Option<Instant>,
    requested_at: Option<Instant>,
}

impl RegionShares {
    /// Returns shares of which at most `max_shift` (0 to 1) moves to other regions within 2 s.
    pub fn new(max_shift: f64) -> Self {
        Self {
            max_change_per_s: max_shift * BOUND_FRACTION / BOUND_WINDOW.as_secs_f64(),
            shares: Vec::new(),
            targets: Vec::new(),
            updated_at: None,
            requested_at: None,
        }
    }

    /// Records a request that is sent now.
    pub fn record_request(&mut self, now: Instant) {
        self.requested_at = Some(now);
    }

    /// Moves the shares towards the weights of the regions. The first update sets them, and so does
    /// one after a window without requests, of which none can change its region.
    pub fn update(&mut self, weights: &[RegionWeight], now: Instant) {
        let current: Vec<f64> = weights.iter().map(|weight| weight.current).collect();
        if current.iter().sum::<f64>() <= 0.0 {
            return;
        }
        let targets = normalized(&current);
        let is_idle = self
            .requested_at
            .is_none_or(|at| now.saturating_duration_since(at) >= BOUND_WINDOW);
        let updated_at = self.updated_at.filter(|_| !is_idle);
        let Some(updated_at) = updated_at else {
            self.set(targets.clone(), targets, now);
            return;
        };
        let shares = self.steady_shares(weights);
        let left_behind = |(share, weight): (&f64, &f64)| if *weight > 0.0 { *share } else { 0.0 };
        let kept: Vec<f64> = shares.iter().zip(&current).map(left_behind).collect();
        let mut shares = match kept.iter().sum::<f64>() > 0.0 {
            true => normalized(&kept),
            false => targets.clone(),
        };
        let elapsed = now.saturating_duration_since(updated_at).min(MAX_STEP);
        relieve_full_regions(&mut shares, &targets, weights, elapsed);
        let max_change = self.max_change_per_s * elapsed.as_secs_f64();
        let differences = shares.iter().zip(&targets).map(|(a, b)| (a - b).abs());
        let distance = differences.sum::<f64>() / 2.0;
        let fraction = if distance > max_change {
            max_change / distance
        } else {
            1.0
        };
        for (share, target) in shares.iter_mut().zip(&targets) {
            *share += (target - *share) * fraction;
        }
        self.set(shares, targets, now);
    }

    /// Returns whether the shares were set by a first update.
    pub fn is_set(&self) -> bool {
        self.updated_at.is_some()
    }

    /// Returns the share of a region, from 0 to 1.
    pub fn share(&self, region: usize) -> f64 {
        self.shares.get(region).copied().unwrap_or(0.0)
    }

    /// Returns the factor for each region on the weights of its eligible upstreams. It gives the
    /// region what its open upstreams would get, in proportion to the shares.
    pub fn factors(&self, weights: &[EligibleWeight]) -> Vec<f64> {
        let factor = |(region, weight): (usize, &EligibleWeight)| match weight.eligible > 0.0 {
            true => self.boost(region) * weight.open / weight.eligible,
            false => 1.0,
        };
        weights.iter().enumerate().map(factor).collect()
    }

    /// Returns whether the shares are on the way to those that the weights give.
    pub fn is_moving(&self) -> bool {
        let pairs = self.shares.iter().zip(&self.targets);
        let mut differences = pairs.map(|(share, target)| (share - target).abs());
        differences.any(|difference| difference > MIN_DIFFERENCE)
    }

    /// Returns the shares after the changes that they follow at once: the factors stay as they are.
    fn steady_shares(&self, weights: &[RegionWeight]) -> Vec<f64> {
        let steady = weights.iter().enumerate();
        let weighted: Vec<f64> = steady
            .map(|(region, weight)| weight.steady * self.boost(region))
            .collect();
        match weighted.iter().sum::<f64>() > 0.0 {
            true => normalized(&weighted),
            false => self.shares.clone(),
        }
    }

    /// Returns the share of a region as a multiple of the one that its weight gives.
    fn boost(&self, region: usize) -> f64 {
        match self.targets.get(region) {
            Some(target) if *target > 0.0 => self.share(region) / target,
            _ => 1.0,
        }
    }

    fn set(&mut self, shares: Vec<f64>, targets: Vec<f64>, now: Instant) {
        self.shares = shares;
        self.targets = targets;
        self.updated_at = Some(now);
    }
}

/// Moves what regions without room have above their targets to the other regions. The bound would
/// only turn such requests into refused ones.
fn relieve_full_regions(
    shares: &mut [f64],
    targets: &[f64],
    weights: &[RegionWeight],
    elapsed: Duration,
) {
    let fraction = 1.0 - 0.5_f64.powf(elapsed.as_secs_f64() / FULL_HALF_LIFE.as_secs_f64());
    let mut freed = 0.0;
    let mut missing = Vec::new();
    for ((share, target), weight) in shares.iter_mut().zip(targets).zip(weights) {
        let excess = if weight.is_full { *share - target } else { 0.0 };
        let moved = excess.max(0.0) * fraction;
        *share -= moved;
        freed += moved;
        missing.push((target - *share).max(0.0));
    }
    let total: f64 = missing.iter().sum();
    if total > 0.0 {
        for (share, missing) in shares.iter_mut().zip(&missing) {
            *share += freed * missing / total;
        }
    }
}

fn normalized(values: &[f64]) -> Vec<f64> {
    let sum: f64 = values.iter().sum();
    values.iter().map(|value| value / sum).collect()
}
