use std::time::Duration;

use tokio::time::Instant;

/// Fraction of its slots in use above which a region passes objects on. Answers are late soon above
/// it, since work arrives unevenly at upstreams of few slots.
const MAX_UTILIZATION: f64 = 0.55;

/// Change of the logarithm of the factor per second and unit of distance from that fraction.
const RATE_PER_S: f64 = 0.5;

/// Greatest distance that counts. All instances act at once, and what a full region has above its
/// weight is moved without a bound, so the weight itself has to change slowly.
const MAX_DISTANCE: f64 = 0.2;

/// Time in which the factor of a region of unknown utilization loses half of its effect.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Longest time that one update accounts for, so that the factor does not jump after a pause.
const MAX_STEP: Duration = Duration::from_millis(500);

/// Lowest logarithm of the factor. It keeps a region in use, so that its load stays known.
const MIN_LOG_FACTOR: f64 = -3.0;

/// Factor on the weights of the upstreams of one region, from 1 down. It falls while more of their
/// slots are in use than is good for their answers, so that objects move to other regions, and rises
/// back to 1 while they have room. It does not rise above 1: a region would draw objects in a quiet
/// time that it loses all at once when traffic comes. It changes slowly, since all instances see the
/// same utilization and act on it; the shares of the regions follow it within their bound.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use laburnumdeal_policy::steer::RegionRoom;
/// use tokio::time::Instant;
///
/// let start = Instant::now();
/// let mut room = RegionRoom::default();
/// room.update(Some(0.9), start);
/// room.update(Some(0.9), start + Duration::from_millis(200));
/// assert!(room.factor() < 1.0);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionRoom {
    log_factor: f64,
    updated_at: Option<Instant>,
}

impl RegionRoom {
    /// Returns the factor on the weights of the upstreams of the region.
    pub fn factor(&self) -> f64 {
        self.log_factor.exp()
    }

    /// Adapts the factor to the fraction of the slots in use, which is `None` if it is not known.
    pub fn update(&mut self, utilization: Option<f64>, now: Instant) {
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(updated_at).min(MAX_STEP);
        let Some(utilization) = utilization else {
            let half_lives = elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64();
            self.log_factor *= 0.5_f64.powf(half_lives);
            return;
        };
        let distance = (MAX_UTILIZATION - utilization).clamp(-MAX_DISTANCE, MAX_DISTANCE);
        let change = RATE_PER_S * distance * elapsed.as_secs_f64();
        self.log_factor = (self.log_factor + change).clamp(MIN_LOG_FACTOR, 0.0);
    }
}
