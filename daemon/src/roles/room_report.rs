use std::collections::BTreeSet;

use slog::info;
use tokio::time::Instant;

use crate::roles::entry_state::EntryState;

/// Shows operators what the load balancer has learned of the room of regions and upstreams.
#[derive(Debug, Default)]
pub(super) struct RoomReport {
    /// Fraction of the slots that upstreams take well, by service, as it was last shown.
    knees: Vec<(String, f64)>,
    /// Services and regions that shares are shown for.
    regions: BTreeSet<(String, String)>,
}

impl RoomReport {
    /// Brings the metrics up to date, and logs services whose upstreams begin to slow down at another
    /// part of their slots.
    pub fn publish(&mut self, state: &EntryState) {
        let load_balancer = state.load_balancer();
        let (knees, shares) = (
            load_balancer.knees(Instant::now()),
            load_balancer.region_shares(),
        );
        drop(load_balancer);
        let used = shares.iter();
        let used: BTreeSet<_> = used
            .map(|share| (share.service.clone(), share.region.clone()))
            .collect();
        for (service, region) in self.regions.difference(&used) {
            let metrics = &state.metrics;
            metrics.set_region_share(service.clone(), region.clone(), 0);
        }
        self.regions.extend(used);
        for share in shares {
            let metrics = &state.metrics;
            metrics.set_region_share(share.service, share.region, percent(share.share));
        }
        for (service, knee) in &knees {
            state.metrics.set_knee(service.clone(), percent(*knee));
            let known = self.knees.iter().find(|(known, _)| known == service);
            let before = known.map_or(1.0, |(_, knee)| *knee);
            if before != *knee
                && let Some(log) = state.log.limited(false)
            {
                info!(log, "upstreams slow down at another part of their slots";
                    "service" => service, "percent" => percent(*knee),
                    "before_percent" => percent(before));
            }
        }
        self.knees = knees;
    }
}

fn percent(fraction: f64) -> i64 {
    (fraction * 100.0).round() as i64
}
