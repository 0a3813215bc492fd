use std::time::Duration;

use derive_more::{From, Into};

/// Time since the start of the machine, including the time for which it was suspended.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use laburnumdeal_policy::customers::BootTime;
///
/// let asked_at = BootTime::from(Duration::from_secs(3));
/// let now = asked_at + Duration::from_secs(1);
/// assert_eq!(now.since(asked_at), Duration::from_secs(1));
/// assert_eq!(asked_at.since(now), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, From, Into)]
pub struct BootTime(Duration);

impl BootTime {
    /// Returns the time that passed since an earlier time, or zero if that is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the whole milliseconds since the start of the machine.
    pub fn as_millis(self) -> u64 {
        self.0.as_millis() as u64
    }
}

impl std::ops::Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}
