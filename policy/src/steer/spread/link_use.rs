use std::time::Duration;

use tokio::time::Instant;

use crate::steer::LinkCapacity;

/// Time over which bytes are averaged. Large bodies arrive in bursts that end sooner.
const AVERAGING_TIME: Duration = Duration::from_millis(1_500);

/// Moving average of what requests take of the link of this machine. A body crosses the link twice,
/// once in each direction, so that one figure holds for both.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use laburnumdeal_policy::steer::{LinkCapacity, LinkUse};
/// use tokio::time::Instant;
///
/// let (link, start) = (LinkCapacity::new(2.0), Instant::now());
/// let mut link_use = LinkUse::default();
/// link_use.update(0, start);
/// link_use.update(125_000, start + Duration::from_millis(500));
/// assert!(link_use.fraction(&link).is_some_and(|fraction| fraction > 0.2));
/// assert_eq!(link_use.fraction(&LinkCapacity::default()), None);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkUse {
    bytes_per_s: f64,
    total_bytes: u64,
    updated_at: Option<Instant>,
}

impl LinkUse {
    /// Bytes in each direction that a request takes beside the two bodies: heads, connections, and
    /// its part of what instances tell each other.
    pub const HEAD_BYTES: u64 = 1_000;

    /// Takes in the bytes that requests have taken since the start, in each direction.
    pub fn update(&mut self, total_bytes: u64, now: Instant) {
        let bytes = total_bytes.saturating_sub(self.total_bytes) as f64;
        self.total_bytes = total_bytes;
        let Some(updated_at) = self.updated_at.replace(now) else {
            return;
        };
        let elapsed_s = now.saturating_duration_since(updated_at).as_secs_f64();
        if elapsed_s > 0.0 {
            let kept = (-elapsed_s / AVERAGING_TIME.as_secs_f64()).exp();
            self.bytes_per_s = kept * self.bytes_per_s + (1.0 - kept) * bytes / elapsed_s;
        }
    }

    /// Returns the part of the link that is in use in each direction; `None` if its bandwidth is not
    /// known to be a limit. More than 1 if more bytes are on their way than it carries.
    pub fn fraction(&self, link: &LinkCapacity) -> Option<f64> {
        Some(self.bytes_per_s / link.narrow_bytes_per_s()?)
    }
}
