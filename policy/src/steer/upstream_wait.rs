use std::time::Duration;

use tokio::time::Instant;

/// Longest wait that is kept. An upstream that asks for more gets a request after this time, and can
/// ask again.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// Time for which an upstream wants no requests from this instance, as it asked in its answers. It
/// ends by itself; an answer that names no time, or a shorter one, does not end it.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use laburnumdeal_policy::steer::UpstreamWait;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut wait = UpstreamWait::default();
/// wait.extend(Duration::from_secs(5), now);
/// wait.extend(Duration::from_secs(1), now);
/// assert_eq!(wait.left(now + Duration::from_secs(2)), Duration::from_secs(3));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamWait {
    until: Option<Instant>,
}

impl UpstreamWait {
    /// Records a time that an answer asks for.
    pub fn extend(&mut self, time: Duration, now: Instant) {
        let until = now + time.min(MAX_WAIT);
        self.until = Some(self.until.map_or(until, |known| known.max(until)));
    }

    /// Returns the time that is left.
    pub fn left(&self, now: Instant) -> Duration {
        self.until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}
