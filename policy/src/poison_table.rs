use std::collections::{BTreeSet, HashMap};

use laburnumdeal_model::UpstreamId;

use crate::{PoisonCheck, PoisonCrash, PoisonMark, PoisonSettings};

/// Minimum number of crashes at which a request is refused.
const MIN_CRASHES_TO_REFUSE: usize = 2;

/// Maximum number of crashes remembered per request; older ones are dropped.
const MAX_CRASHES: usize = 4;

/// Requests that were in flight when an upstream crashed, and may have caused the crash.
///
/// Times are milliseconds on one monotonic clock of the caller's choice.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::UpstreamId;
/// use laburnumdeal_policy::{PoisonCheck, PoisonSettings, PoisonTable};
///
/// let mut table = PoisonTable::new(PoisonSettings::default());
/// table.on_crash(&[7, 8], UpstreamId(1), 1_000);
/// assert_eq!(table.check(7, 1_000), PoisonCheck::Suspect);
/// table.on_complete(8, 1_500);
/// assert_eq!(table.check(8, 1_500), PoisonCheck::Clear);
/// table.on_crash(&[7], UpstreamId(2), 9_000);
/// assert!(matches!(table.check(7, 9_000), PoisonCheck::Refused { .. }));
/// ```
#[derive(Clone, Debug)]
pub struct PoisonTable {
    settings: PoisonSettings,
    marks: HashMap<u64, Mark>,
    /// Time of the last change and fingerprint of each mark, oldest first.
    by_change_time: BTreeSet<(u64, u64)>,
    /// Suspects that are running, with their upstreams.
    running: HashMap<u64, UpstreamId>,
}

/// Crashes that one request was in flight at, and its last completed run.
#[derive(Clone, Debug, Default)]
struct Mark {
    crashes: Vec<Crash>,
    completed_ms: Option<u64>,
    changed_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    upstream: UpstreamId,
    at_ms: u64,
}

impl PoisonTable {
    /// Returns an empty table.
    pub fn new(settings: PoisonSettings) -> Self {
        Self {
            settings,
            marks: HashMap::new(),
            by_change_time: BTreeSet::new(),
            running: HashMap::new(),
        }
    }

    /// Records a crash of an upstream for all requests that were in flight on it.
    pub fn on_crash(&mut self, in_flight: &[u64], upstream: UpstreamId, now_ms: u64) {
        let crash = Crash {
            upstream,
            at_ms: now_ms,
        };
        for fingerprint in in_flight {
            self.add_crash(*fingerprint, crash, now_ms);
        }
        self.running.retain(|_, running_on| *running_on != upstream);
        self.evict(now_ms);
    }

    /// Clears the crashes of a request that ran to completion.
    pub fn on_complete(&mut self, fingerprint: u64, now_ms: u64) {
        self.running.remove(&fingerprint);
        if let Some(mark) = self.marks.get_mut(&fingerprint) {
            mark.complete(now_ms);
            self.set_changed(fingerprint, now_ms);
        }
    }

    /// Returns whether a request may run, and how.
    pub fn check(&self, fingerprint: u64, now_ms: u64) -> PoisonCheck {
        let Some(mark) = self.marks.get(&fingerprint) else {
            return PoisonCheck::Clear;
        };
        let Some(last) = mark.crashes.last() else {
            return PoisonCheck::Clear;
        };
        let age_ms = now_ms.saturating_sub(last.at_ms);
        if age_ms >= self.settings.remember_ms {
            PoisonCheck::Clear
        } else if mark.crashes.len() >= MIN_CRASHES_TO_REFUSE && age_ms < self.settings.refuse_ms {
            PoisonCheck::Refused {
                retry_after_ms: self.settings.refuse_ms - age_ms,
            }
        } else {
            PoisonCheck::Suspect
        }
    }

    /// Marks a suspect as running on an upstream if it runs nowhere yet and no other suspect runs there, and
    /// returns whether it did.
    ///
    /// [`PoisonTable::on_complete`], [`PoisonTable::on_crash`] or [`PoisonTable::stop_suspect`] ends the run.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_model::UpstreamId;
    /// use laburnumdeal_policy::{PoisonSettings, PoisonTable};
    ///
    /// let mut table = PoisonTable::new(PoisonSettings::default());
    /// assert!(table.try_start_suspect(7, UpstreamId(1)));
    /// assert!(!table.try_start_suspect(8, UpstreamId(1)));
    /// table.stop_suspect(7);
    /// assert!(table.try_start_suspect(8, UpstreamId(1)));
    /// ```
    pub fn try_start_suspect(&mut self, fingerprint: u64, upstream: UpstreamId) -> bool {
        let is_taken = self.running.contains_key(&fingerprint)
            || self
                .running
                .values()
                .any(|running_on| *running_on == upstream);
        if !is_taken {
            self.running.insert(fingerprint, upstream);
        }
        !is_taken
    }

    /// Ends the run of a suspect that neither completed nor crashed its upstream.
    pub fn stop_suspect(&mut self, fingerprint: u64) {
        self.running.remove(&fingerprint);
    }

    /// Returns the marks that changed at or after a time, to be sent to other instances.
    pub fn marks_since(&self, since_ms: u64, now_ms: u64) -> Vec<PoisonMark> {
        self.by_change_time
            .range((since_ms, 0)..)
            .filter_map(|(_, fingerprint)| {
                let mark = self.marks.get(fingerprint)?;
                Some(mark.to_message(*fingerprint, now_ms))
            })
            .collect()
    }

    /// Adds marks from another instance and returns how many contained something new.
    ///
    /// # Examples
    ///
    /// ```
    /// use laburnumdeal_model::UpstreamId;
    /// use laburnumdeal_policy::{PoisonCheck, PoisonSettings, PoisonTable};
    ///
    /// let mut here = PoisonTable::new(PoisonSettings::default());
    /// let mut there = here.clone();
    /// here.on_crash(&[7], UpstreamId(1), 1_000);
    /// there.merge(&here.marks_since(0, 1_500), 90_000);
    /// assert_eq!(there.check(7, 90_000), PoisonCheck::Suspect);
    /// ```
    pub fn merge(&mut self, received: &[PoisonMark], now_ms: u64) -> usize {
        let new_count = received
            .iter()
            .filter(|mark| self.merge_one(mark, now_ms))
            .count();
        self.evict(now_ms);
        new_count
    }

    /// Returns the number of requests remembered.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns whether no requests are remembered.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    fn merge_one(&mut self, received: &PoisonMark, now_ms: u64) -> bool {
        let mut is_new = false;
        for crash in &received.crashes {
            let crash = Crash {
                upstream: crash.upstream,
                at_ms: now_ms.saturating_sub(crash.age_ms),
            };
            is_new |= self.add_crash(received.fingerprint, crash, now_ms);
        }
        if let (Some(age_ms), Some(mark)) = (
            received.completed_age_ms,
            self.marks.get_mut(&received.fingerprint),
        ) && mark.complete(now_ms.saturating_sub(age_ms))
        {
            self.set_changed(received.fingerprint, now_ms);
            is_new = true;
        }
        is_new
    }

    fn add_crash(&mut self, fingerprint: u64, crash: Crash, now_ms: u64) -> bool {
        let is_expired = now_ms.saturating_sub(crash.at_ms) >= self.settings.remember_ms;
        let same_crash_ms = self.settings.same_crash_ms;
        let mark = self.marks.entry(fingerprint).or_default();
        if is_expired || !mark.add(crash, same_crash_ms) {
            if mark.crashes.is_empty() && mark.completed_ms.is_none() {
                self.marks.remove(&fingerprint);
            }
            return false;
        }
        self.set_changed(fingerprint, now_ms);
        true
    }

    fn set_changed(&mut self, fingerprint: u64, now_ms: u64) {
        if let Some(mark) = self.marks.get_mut(&fingerprint) {
            self.by_change_time.remove(&(mark.changed_ms, fingerprint));
            mark.changed_ms = now_ms;
            self.by_change_time.insert((now_ms, fingerprint));
        }
    }

    fn evict(&mut self, now_ms: u64) {
        while let Some((changed_ms, fingerprint)) = self.by_change_time.first().copied() {
            let is_old = now_ms.saturating_sub(changed_ms) >= self.settings.remember_ms;
            if !is_old && self.marks.len() <= self.settings.mark_limit {
                return;
            }
            self.by_change_time.pop_first();
            self.marks.remove(&fingerprint);
        }
    }
}

impl Mark {
    /// Adds a crash and returns whether it is new: neither known, nor followed by a completed run.
    fn add(&mut self, crash: Crash, same_crash_ms: u64) -> bool {
        let is_known = self.crashes.iter().any(|known| {
            known.upstream == crash.upstream && known.at_ms.abs_diff(crash.at_ms) < same_crash_ms
        });
        let is_cleared = self.completed_ms.is_some_and(|at_ms| crash.at_ms <= at_ms);
        if is_known || is_cleared {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_by_key(|c| c.at_ms);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Records a completed run and returns whether it is later than the last known one.
    fn complete(&mut self, at_ms: u64) -> bool {
        if self.completed_ms.is_some_and(|known_ms| at_ms <= known_ms) {
            return false;
        }
        self.completed_ms = Some(at_ms);
        self.crashes.retain(|crash| crash.at_ms > at_ms);
        true
    }

    fn to_message(&self, fingerprint: u64, now_ms: u64) -> PoisonMark {
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        PoisonMark {
            fingerprint,
            crashes: self
                .crashes
                .iter()
                .map(|crash| PoisonCrash {
                    upstream: crash.upstream,
                    age_ms: age_ms(crash.at_ms),
                })
                .collect(),
            completed_age_ms: self.completed_ms.map(age_ms),
        }
    }
}
