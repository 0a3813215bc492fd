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
    pub report_max_age_ms: u64,
    /// Time without reports after which an upstream's word that it is leaving is forgotten.
    pub leaving_ttl_ms: u64,
    /// Time for which reports are ignored once own observations have contradicted them.
    pub report_distrust_ms: u64,
    /// Time between two requests that check whether a report is right.
    pub probe_interval_ms: u64,
    /// Pause until an upstream that shed a request gets one more than it ran then.
    pub shed_backoff_ms: u64,
    /// Longest pause after sheds.
    pub max_shed_backoff_ms: u64,
    /// First ejection of an upstream that fails.
    pub base_ejection_ms: u64,
    /// Longest ejection.
    pub max_ejection_ms: u64,
    /// Time for which an upstream may go on with a request after its connection was closed.
    pub abort_linger_ms: u64,
    /// Time in which a measured latency loses two thirds of its weight.
    pub latency_decay_ms: u64,
    /// Service time that is assumed before any is measured.
    pub initial_latency_ms: u64,
    /// Delay of a hedge before enough latencies are measured.
    pub initial_hedge_delay_ms: u64,
    /// Shortest delay of a hedge.
    pub min_hedge_delay_ms: u64,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            seed: 0,
            queue_per_slot: 2,
            cold_start_ms: 10_000,
            report_max_age_ms: 3_000,
            leaving_ttl_ms: 60_000,
            report_distrust_ms: 10_000,
            probe_interval_ms: 1_000,
            shed_backoff_ms: 100,
            max_shed_backoff_ms: 2_000,
            base_ejection_ms: 250,
            max_ejection_ms: 30_000,
            abort_linger_ms: 50,
            latency_decay_ms: 5_000,
            initial_latency_ms: 50,
            initial_hedge_delay_ms: 200,
            min_hedge_delay_ms: 5,
        }
    }
}
