/// Numbers that shape the choice of upstreams.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::PoolSettings;
///
/// let settings = PoolSettings { seed: 7, queue_per_slot: 1, ..PoolSettings::default() };
/// assert_eq!(settings.cold_start_ms, PoolSettings::default().cold_start_ms);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolSettings {
    /// Seed of the random choices.
    pub seed: u64,
    /// Requests that may wait for each slot of a service.
    pub queue_per_slot: u32,
    /// Longest time until a cold upstream has every slot open.
    pub cold_start_ms: u64,
    /// Age at which a load report counts as unknown.
    pub report_fresh_ms: u64,
    /// Time without reports after which an upstream's word that it is leaving is forgotten.
    pub leaving_kept_ms: u64,
    /// Time for which reports are ignored once own observations have contradicted them.
    pub distrust_ms: u64,
    /// Time between two requests that check whether a report is right.
    pub probe_every_ms: u64,
    /// Pause until an upstream that shed a request gets one more than it ran then.
    pub shed_pause_ms: u64,
    /// Longest pause after sheds.
    pub shed_pause_max_ms: u64,
    /// First ejection of an upstream that fails.
    pub eject_ms: u64,
    /// Longest ejection.
    pub eject_max_ms: u64,
    /// Time for which an upstream may go on with a request after its connection was closed.
    pub cut_off_ms: u64,
    /// Time in which a measured latency loses two thirds of its weight.
    pub latency_decay_ms: u64,
    /// Service time that is assumed before any is measured.
    pub service_time_ms: u64,
    /// Delay of a hedge before enough latencies are measured.
    pub hedge_ms: u64,
    /// Shortest delay of a hedge.
    pub hedge_min_ms: u64,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            seed: 0,
            queue_per_slot: 2,
            cold_start_ms: 10_000,
            report_fresh_ms: 3_000,
            leaving_kept_ms: 60_000,
            distrust_ms: 10_000,
            probe_every_ms: 1_000,
            shed_pause_ms: 100,
            shed_pause_max_ms: 2_000,
            eject_ms: 250,
            eject_max_ms: 30_000,
            cut_off_ms: 50,
            latency_decay_ms: 5_000,
            service_time_ms: 50,
            hedge_ms: 200,
            hedge_min_ms: 5,
        }
    }
}
