use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use crate::steer::UpstreamKey;

/// Upstreams in a row that could not be connected to, after which others are probed.
const FAILURES_TO_PROBE: usize = 2;

/// Time within which these failures count together.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);

/// Minimum time from a probe that reached an upstream to the next one, so that upstreams that are
/// down for long cost few connections.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Fewest upstreams that must have been probed in vain to count as partitioned from all.
const MIN_PROBED: usize = 2;

/// Change of whether an instance reaches upstreams.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ReachChange {
    /// It did not change.
    #[display("unchanged")]
    Unchanged,
    /// No upstream can be connected to any more.
    #[display("lost")]
    Lost,
    /// Upstreams can be connected to again.
    #[display("regained")]
    Regained,
}

/// Tells whether this instance is partitioned from all upstreams. Failures of several upstreams in a
/// row lead to probes of others; an instance is partitioned when none of these can be connected to
/// either. Upstreams that ended, or a zone that is cut off, leave others that can.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::{ReachChange, UpstreamKey, UpstreamReach};
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut reach = UpstreamReach::default();
/// assert!(!reach.record_failed(UpstreamKey(1), now));
/// assert!(reach.record_failed(UpstreamKey(2), now), "others are to be probed");
/// assert_eq!(reach.record_probe(4, 0, now), ReachChange::Lost);
/// assert!(reach.is_lost());
/// assert_eq!(reach.record_probe(4, 1, now), ReachChange::Regained);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamReach {
    /// Upstreams that could not be connected to since the last connection.
    failed: Vec<(UpstreamKey, Instant)>,
    is_probing: bool,
    reached_at: Option<Instant>,
    lost_at: Option<Instant>,
}

impl UpstreamReach {
    /// Records a connection to an upstream that was opened now.
    pub fn record_opened(&mut self) {
        if self.lost_at.is_none() {
            self.failed.clear();
        }
    }

    /// Records that an upstream could not be connected to. Returns whether to start probing others;
    /// the result of each probe goes to [`Self::record_probe`].
    pub fn record_failed(&mut self, upstream: UpstreamKey, now: Instant) -> bool {
        self.failed.retain(|(known, at)| {
            *known != upstream && now.saturating_duration_since(*at) < FAILURE_WINDOW
        });
        self.failed.push((upstream, now));
        let is_due = self
            .reached_at
            .is_none_or(|at| now.saturating_duration_since(at) >= MIN_PROBE_INTERVAL);
        let should_probe = !self.is_probing && is_due && self.failed.len() >= FAILURES_TO_PROBE;
        self.is_probing |= should_probe;
        should_probe
    }

    /// Records a probe of several upstreams, some of which were reached. Probing goes on for as long
    /// as [`Self::is_lost`].
    pub fn record_probe(&mut self, probed: usize, reached: usize, now: Instant) -> ReachChange {
        let is_lost = reached == 0 && (self.is_lost() || probed >= MIN_PROBED);
        self.is_probing = is_lost;
        if !is_lost {
            self.failed.clear();
            self.reached_at = Some(now);
        }
        match (self.lost_at, is_lost) {
            (None, true) => {
                self.lost_at = Some(now);
                ReachChange::Lost
            }
            (Some(_), false) => {
                self.lost_at = None;
                // What fails after a partition ended is probed at once.
                self.reached_at = None;
                ReachChange::Regained
            }
            _ => ReachChange::Unchanged,
        }
    }

    /// Returns whether the instance is partitioned from all upstreams.
    pub fn is_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Returns for how long it has been.
    pub fn lost_for(&self, now: Instant) -> Option<Duration> {
        self.lost_at.map(|at| now.saturating_duration_since(at))
    }
}
