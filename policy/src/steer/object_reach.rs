use std::time::Duration;

use tokio::time::Instant;

/// Fewest and most upstreams that an object is sent to. More balance better; they also have more
/// objects to remember.
const REACH: (usize, usize) = (2, 3);

/// Weight of one answer in the share of forgotten objects.
const WEIGHT: f64 = 0.05;

/// Time of an answer, as a multiple of the usual one for a known object, that shows that the object
/// was forgotten.
const FORGOTTEN_RATIO: f64 = 2.0;

/// Share of forgotten objects above which the reach shrinks, and below which it may grow.
const FORGOTTEN_SHARES: (f64, f64) = (0.15, 0.05);

/// Answers after which the share is known well enough for the reach to grow.
const ENOUGH: u32 = 20;

/// First and longest time for which the reach stays small; it doubles with every attempt to grow
/// that failed.
const STAYS: (Duration, Duration) = (Duration::from_secs(4), Duration::from_secs(64));

/// Number of upstreams that each object of a service is sent to, by how well upstreams remember.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::ObjectReach;
/// use tokio::time::{Duration, Instant};
///
/// let start = Instant::now();
/// let mut reach = ObjectReach::new(start);
/// assert_eq!(reach.upstreams(), 2);
/// // Answers come as fast as from upstreams that know the object.
/// for second in 0..30 {
///     reach.measured(150.0, 144.0, start + Duration::from_secs(second));
/// }
/// assert_eq!(reach.upstreams(), 3);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ObjectReach {
    upstreams: usize,
    forgotten: f64,
    answers: u32,
    stays: Duration,
    since: Instant,
}

impl ObjectReach {
    /// Starts with the smallest reach.
    pub fn new(now: Instant) -> Self {
        Self {
            upstreams: REACH.0,
            forgotten: 0.0,
            answers: 0,
            stays: STAYS.0,
            since: now,
        }
    }

    /// Returns the number of upstreams.
    pub fn upstreams(&self) -> usize {
        self.upstreams
    }

    /// Takes in the time of an answer about an object that its upstream had handled before.
    pub fn measured(&mut self, took_ms: f64, known_ms: f64, now: Instant) {
        let was_forgotten = took_ms > known_ms * FORGOTTEN_RATIO;
        self.answers = self.answers.saturating_add(1);
        self.forgotten += WEIGHT * (f64::from(u8::from(was_forgotten)) - self.forgotten);
        let (most, least) = FORGOTTEN_SHARES;
        if self.upstreams > REACH.0 && self.forgotten > most {
            self.stays = (self.stays * 2).min(STAYS.1);
            self.change(REACH.0, now);
        } else if self.upstreams < REACH.1
            && self.answers >= ENOUGH
            && self.forgotten < least
            && now - self.since >= self.stays
        {
            self.change(REACH.1, now);
        }
    }

    fn change(&mut self, upstreams: usize, now: Instant) {
        self.upstreams = upstreams;
        self.answers = 0;
        self.since = now;
    }
}
