use std::time::Duration;

use derive_more::Display;
use laburnumdeal_policy::ShareSettings;

use crate::state::State;

/// Whether this instance accepts requests, and whether its configuration is confirmed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Readiness {
    /// Accepts requests under a confirmed configuration.
    #[display("ready")]
    Ready,
    /// Accepts requests under a configuration that has not been confirmed for longer than a lease.
    #[display("ready, but fenced: the configuration is not confirmed and no shift starts")]
    Fenced,
    /// Has no configuration yet.
    #[display("not ready: no configuration yet")]
    NoConfiguration,
    /// Started a moment ago: an earlier run may have used up the shares of the current second.
    #[display("not ready: shares of caps are not usable yet")]
    Starting,
    /// A planned stop has begun.
    #[display("not ready: leaving")]
    Leaving,
}

impl Readiness {
    /// Returns the current readiness of an instance.
    pub fn of(state: &State) -> Self {
        if state.is_leaving() {
            Self::Leaving
        } else if !state.configuration.is_known() {
            Self::NoConfiguration
        } else if state.uptime() < shares_usable_after() {
            Self::Starting
        } else if state.configuration.is_fenced() {
            Self::Fenced
        } else {
            Self::Ready
        }
    }

    /// Returns whether callers may be sent to this instance.
    pub fn accepts_requests(self) -> bool {
        matches!(self, Self::Ready | Self::Fenced)
    }
}

/// Returns the time after the start from which this instance may use its shares of caps.
fn shares_usable_after() -> Duration {
    Duration::from_millis(ShareSettings::default().reclaim_after_ms(0))
}
