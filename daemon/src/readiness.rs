use derive_more::Display;

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
