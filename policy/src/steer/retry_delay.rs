use std::time::Duration;

/// Part of a delay, and bounds on it, over which callers that are told the same delay are spread.
const SPREAD_FRACTION: f64 = 0.25;
const SPREAD_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(1_000));

/// Returns the time after which one caller should retry, for the time until requests are accepted
/// again. `position` is from 0 to 1 and differs from caller to caller, so that those that were
/// rejected meanwhile do not return at the same moment.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use laburnumdeal_policy::steer::spread_delay;
///
/// let delay = Duration::from_secs(2);
/// assert_eq!(spread_delay(delay, 0.0), delay);
/// assert_eq!(spread_delay(delay, 1.0), Duration::from_millis(2_500));
/// ```
pub fn spread_delay(delay: Duration, position: f64) -> Duration {
    let (min, max) = SPREAD_BOUNDS;
    let spread = delay.mul_f64(SPREAD_FRACTION).clamp(min, max);
    delay + spread.mul_f64(position.clamp(0.0, 1.0))
}
