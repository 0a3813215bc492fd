/// Settings of [`Pool`](crate::Pool) and its choice of upstreams.
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
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of waiting requests per slot of a service.
    pub queue_per_slot: u32,
    /// Time after which every slot of a cold upstream is open.
    pub cold_start_ms: u64,
    /// Age from which a load report is ignored.
    pub report_max_age_ms: u64,
    /// Age from which a report that the upstream is leaving is ignored.
    pub leaving_ttl_ms: u64,
    /// Time for which slots beyond the reported ones stay open after answers have contradicted the
    /// reports.
    pub report_distrust_ms: u64,
    /// Interval between two probe requests that test whether a report is right.
    pub probe_interval_ms: u64,
    /// Initial backoff after a shed. When it ends, the upstream gets one request more than it ran
    /// when it shed one. It doubles with each further shed.
    pub shed_backoff_ms: u64,
    /// Maximum backoff after sheds.
    pub max_shed_backoff_ms: u64,
    /// Duration of the first ejection of a failing upstream.
    pub base_ejection_ms: u64,
    /// Maximum duration of an ejection.
    pub max_ejection_ms: u64,
    /// Time for which the slot of an aborted request stays taken, because the upstream may continue
    /// to run the request after its connection was closed.
    pub abort_linger_ms: u64,
    /// Time constant of the decay of a measured latency, which loses about two thirds of its weight
    /// in this time.
    pub latency_decay_ms: u64,
    /// Latency of a service that is assumed before the first answer.
    pub initial_latency_ms: u64,
    /// Delay of hedged requests before enough latencies are measured.
    pub initial_hedge_delay_ms: u64,
    /// Minimum delay of hedged requests.
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
