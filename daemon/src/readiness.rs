use std::time::Duration;

use derive_more::Display;
use laburnumdeal_policy::ShareSettings;

use crate::state::State;

/// Whether this instance takes work, and how current its configuration is.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Readiness {
    /// Takes work under a confirmed configuration.
    #[display("ready")]
    Ready,
    /// Takes work under a configuration that nobody has confirmed for longer than a lease.
    #[display("ready, but fenced: the configuration is not confirmed and no shift starts")]
    Fenced,
    /// Has no configuration yet.
    #[display("not ready: no configuration yet")]
    NoConfiguration,
    /// Started a moment ago: an earlier run may have spent the shares of this second.
    #[display("not ready: shares of caps are not usable yet")]
    Starting,
    /// Stops after its work.
    #[display("not ready: leaving")]
    Leaving,
}

impl Readiness {
    /// Returns the readiness of an instance now.
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

    /// Returns whether callers may be sent here.
    pub fn takes_work(self) -> bool {
        matches!(self, Self::Ready | Self::Fenced)
    }
}

/// Returns the time after the start from which this instance may spend its shares.
fn shares_usable_after() -> Duration {
    Duration::from_millis(ShareSettings::default().reclaim_after_ms(0))
}
