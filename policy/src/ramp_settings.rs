/// Settings of [`Ramp`](crate::Ramp).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RampSettings {
    /// Length of a step.
    pub step_ms: u64,
    /// Most requests of a step, in thousandths of those in the steps before it.
    pub growth_permille: u64,
    /// Requests that every step may take.
    pub min_per_step: u64,
    /// Thousandths of the warmth that are left after a step without traffic.
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
