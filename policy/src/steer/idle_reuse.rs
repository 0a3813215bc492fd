use std::time::Duration;

use tokio::time::Instant;

/// Longest idle time of a connection that is reused while upstreams keep idle connections.
const LONG_IDLE: Duration = Duration::from_secs(8);

/// Idle time after which an upstream is expected to close a connection, if it states none.
const DEFAULT_STATED_IDLE: Duration = Duration::from_secs(4);

/// Fraction of the stated idle time within which a connection is used again. A request that is on its
/// way when the other side closes is lost.
const SAFE_FRACTION: f64 = 0.75;

/// Longest idle time while upstreams do not keep them.
const SHORT_IDLE: Duration = Duration::from_millis(250);

/// Connections that broke after an idle time, within [`BREAK_WINDOW`], that show that upstreams do
/// not keep them. A single one may have met an upstream that ended.
const BREAKS: usize = 2;

/// Time within which these breaks count together.
const BREAK_WINDOW: Duration = Duration::from_secs(2);

/// Time after the last of them for which connections are reused early only.
const SHORT_TIME: Duration = Duration::from_secs(4);

/// Tells after which idle time connections to upstreams are not used again. Upstreams, or what lies
/// between, may forget idle connections long before the time that they state; a request that is sent
/// on one is lost, and has to be sent again.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use laburnumdeal_policy::steer::IdleReuse;
/// use tokio::time::Instant;
///
/// let now = Instant::now();
/// let mut reuse = IdleReuse::default();
/// let before = reuse.longest_idle(now);
/// reuse.record_broken(Duration::from_secs(1), now);
/// reuse.record_broken(Duration::from_secs(1), now);
/// assert!(reuse.longest_idle(now) < before);
/// assert_eq!(reuse.longest_idle(now + Duration::from_secs(10)), before);
/// ```
#[derive(Clone, Debug, Default)]
pub struct IdleReuse {
    broken_at: Vec<Instant>,
    short_until: Option<Instant>,
}

impl IdleReuse {
    /// Returns the longest idle time of a connection that is used again.
    pub fn longest_idle(&self, now: Instant) -> Duration {
        match self.short_until.is_some_and(|until| now < until) {
            true => SHORT_IDLE,
            false => LONG_IDLE,
        }
    }

    /// Records that a connection broke before the answer to a request that was sent on it after an
    /// idle time.
    pub fn record_broken(&mut self, idle: Duration, now: Instant) {
        if idle < SHORT_IDLE {
            return;
        }
        self.broken_at
            .retain(|at| now.saturating_duration_since(*at) < BREAK_WINDOW);
        self.broken_at.push(now);
        if self.broken_at.len() >= BREAKS {
            self.short_until = Some(now + SHORT_TIME);
        }
    }
}

/// Returns the idle time after which the other side closes a connection, by the value of its header
/// `Keep-Alive`.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use laburnumdeal_policy::steer::stated_idle;
///
/// assert_eq!(stated_idle("timeout=5, max=100"), Some(Duration::from_secs(5)));
/// assert_eq!(stated_idle("max=100"), None);
/// ```
pub fn stated_idle(keep_alive: &str) -> Option<Duration> {
    let mut parameters = keep_alive.split(',').map(str::trim);
    let seconds = parameters.find_map(|parameter| {
        let (name, value) = parameter.split_once('=')?;
        name.eq_ignore_ascii_case("timeout").then_some(value)
    })?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Returns the idle time within which a connection is used again, by the one that the other side has
/// stated.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use laburnumdeal_policy::steer::safe_idle;
///
/// let stated = Duration::from_secs(10);
/// assert!(safe_idle(Some(stated)) < stated);
/// ```
pub fn safe_idle(stated: Option<Duration>) -> Duration {
    stated.unwrap_or(DEFAULT_STATED_IDLE).mul_f64(SAFE_FRACTION)
}
