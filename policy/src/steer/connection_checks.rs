use std::collections::HashMap;
use std::time::Duration;

use tokio::time::Instant;

/// Late checks of one service, within [`LATE_WINDOW`], that show that its upstreams do not answer
/// checks at once. A single one may have met a connection that was forgotten.
const LATE_CHECKS: usize = 2;

/// Time within which late checks count together.
const LATE_WINDOW: Duration = Duration::from_secs(5);

/// Time after the last of them for which connections to the service are not checked.
const OFF_TIME: Duration = Duration::from_secs(8);

/// Tells for which services a kept connection is checked before a request that must not be repeated
/// is sent on it. A check asks the upstream for its status. It costs little only where the upstreams
/// answer at once, without a slot.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::ConnectionChecks;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut checks = ConnectionChecks::new(false);
/// assert!(!checks.is_on("catalog", false, now));
/// assert!(checks.is_on("catalog", true, now));
/// checks.record_late("catalog", now);
/// checks.record_late("catalog", now);
/// assert!(!checks.is_on("catalog", true, now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ConnectionChecks {
    checks_all: bool,
    /// Late checks of the services that have had any.
    late: HashMap<String, LateChecks>,
}

#[derive(Clone, Debug, Default)]
struct LateChecks {
    at: Vec<Instant>,
    off_until: Option<Instant>,
}

impl ConnectionChecks {
    /// Returns the state before the first check. With `checks_all`, the deployment says that all its
    /// upstreams answer checks at once.
    pub fn new(checks_all: bool) -> Self {
        Self {
            checks_all,
            late: HashMap::new(),
        }
    }

    /// Returns whether connections to an upstream of a service are checked. An upstream that names
    /// the pace of its machine answers checks at once.
    pub fn is_on(&self, service: &str, names_pace: bool, now: Instant) -> bool {
        let late = self.late.get(service);
        let off_until = late.and_then(|late| late.off_until);
        (self.checks_all || names_pace) && off_until.is_none_or(|until| until <= now)
    }

    /// Records a check that was not answered in time; returns whether the service is therefore no
    /// longer checked for a while.
    pub fn record_late(&mut self, service: &str, now: Instant) -> bool {
        let late = self.late.entry(service.to_owned()).or_default();
        late.at
            .retain(|at| now.saturating_duration_since(*at) < LATE_WINDOW);
        late.at.push(now);
        if late.at.len() < LATE_CHECKS {
            return false;
        }
        late.at.clear();
        late.off_until = Some(now + OFF_TIME);
        true
    }
}
