use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Returns the time since the machine started, including the time for which it was suspended. The
/// clock behind `Instant` stands still meanwhile.
///
/// # Examples
///
/// ```
/// let earlier = laburnumdeal_control::since_boot();
/// assert!(laburnumdeal_control::since_boot() >= earlier);
/// ```
///
/// # Panics
///
/// Panics if the system has no such clock; every Linux since 2.6.39 has it.
pub fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has a boot clock");
    Duration::from(time)
}
