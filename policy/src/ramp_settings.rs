/// Settings of [`Ramp`](crate::Ramp).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RampSettings {
    /// Length of one step.
    pub step_ms: u64,
    /// Maximum number of requests of a step, in thousandths of the warm requests per step.
    pub growth_permille: u64,
    /// Number of requests that every step admits.
    pub min_per_step: u64,
    /// Thousandths of the warm requests that remain after a step without traffic.
    pub decay_permille: u64,
}

impl Default for RampSettings {
    fn default() -> Self {
        Self {
            step_ms: 1_000,
            growth_permille: 1_500,
            min_per_step: 20,
            decay_permille: 900,
        }
    }
}
