use std::collections::{BTreeMap, BTreeSet};

use laburnumdeal_policy::steer::SlowUpstream;
use slog::info;

use crate::roles::entry_state::EntryState;

/// Shows operators which upstreams are slow against their service.
#[derive(Debug, Default)]
pub(super) struct SpeedReport {
    /// Those that were last shown, by service and identity.
    slow: BTreeSet<(String, String)>,
    /// Services that a number is shown for.
    services: BTreeSet<String>,
}

impl SpeedReport {
    /// Brings the metrics up to date, and logs upstreams that turned slow or are as usual again.
    pub fn publish(&mut self, state: &EntryState) {
        let slow = state.load_balancer().slow_upstreams();
        let mut counts: BTreeMap<&str, i64> = BTreeMap::new();
        for upstream in &slow {
            *counts.entry(&upstream.service).or_default() += 1;
        }
        self.services
            .extend(counts.keys().map(|name| (*name).to_owned()));
        for service in &self.services {
            let count = counts.get(service.as_str()).copied().unwrap_or(0);
            state.metrics.set_slow_upstreams(service.clone(), count);
        }
        let key = |upstream: &SlowUpstream| (upstream.service.clone(), upstream.upstream.clone());
        let now_slow: BTreeSet<_> = slow.iter().map(key).collect();
        for upstream in slow.iter().filter(|slow| !self.slow.contains(&key(slow))) {
            if let Some(log) = state.log.limited(false) {
                info!(log, "upstream is slow against its service"; "service" => &upstream.service,
                    "upstream" => &upstream.upstream, "percent" => upstream.percent);
            }
        }
        for (service, upstream) in self.slow.difference(&now_slow) {
            if let Some(log) = state.log.limited(false) {
                info!(log, "upstream is as fast as usual again"; "service" => service,
                    "upstream" => upstream);
            }
        }
        self.slow = now_slow;
    }
}
