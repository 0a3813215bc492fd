use std::time::Duration;

use tokio::time::Instant;

use crate::steer::Quartile;

/// Equal parts of the slots of an upstream for which times are told apart.
const PARTS: usize = 4;

/// Slowdown up to which upstreams count as taking the load well. Smaller ones are within what answers
/// vary by.
const TOLERANCE: f64 = 1.35;

/// Age at which a time is no longer compared. What makes upstreams slow at any load is so for all
/// parts after this time, and a load that was avoided is tried again.
const MAX_AGE: Duration = Duration::from_secs(10);

/// How long answers of one route take while more of the slots of an upstream are in use. Some
/// upstreams slow down long before all slots are in use.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::LoadCurve;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut curve = LoadCurve::default();
/// for _ in 0..50 {
///     curve.record(0.2, 100.0, now);
///     curve.record(0.9, 200.0, now);
/// }
/// assert_eq!(curve.knee(now), 0.75);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadCurve {
    parts: [Part; PARTS],
}

/// Times of the answers while a part of the slots was in use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Part {
    took_ms: Quartile,
    recorded_at: Option<Instant>,
}

impl Part {
    fn took_ms(&self, now: Instant) -> Option<f64> {
        let is_new = |at: &Instant| now.saturating_duration_since(*at) <= MAX_AGE;
        self.recorded_at.filter(is_new)?;
        self.took_ms.value()
    }
}

impl LoadCurve {
    /// Records the time of an answer of an upstream that had a fraction of its slots in use.
    pub fn record(&mut self, utilization: f64, took_ms: f64, now: Instant) {
        let part = &mut self.parts[part_of(utilization)];
        // What it was long ago says nothing of the load now.
        if part.took_ms(now).is_none() && part.took_ms.value().is_some() {
            part.took_ms = Quartile::default();
        }
        part.took_ms.record(took_ms);
        part.recorded_at = Some(now);
    }

    /// Returns the fraction of the slots up to which upstreams take load well; 1 as far as nothing
    /// else is known.
    pub fn knee(&self, now: Instant) -> f64 {
        let known = |part: &Part| part.took_ms(now);
        let Some(least_ms) = self.parts.iter().find_map(known) else {
            return 1.0;
        };
        let is_slow = |part: &Part| known(part).is_some_and(|ms| ms > least_ms * TOLERANCE);
        let first = self.parts.iter().position(is_slow).unwrap_or(PARTS);
        first as f64 / PARTS as f64
    }
}

/// Returns the part of the slots that a fraction of them in use lies in.
fn part_of(utilization: f64) -> usize {
    let part = (utilization * PARTS as f64).ceil() as usize;
    part.clamp(1, PARTS) - 1
}
