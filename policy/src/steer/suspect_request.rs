use std::time::Duration;

use tokio::time::Instant;

use crate::steer::CrashReport;
use crate::steer::request_fingerprints::is_of_content;

/// Crashes after which every entry instance refuses a request of one caller.
const CRASHES_TO_BLOCK: usize = 2;

/// Crashes after which every entry instance refuses requests with a content, whoever sends them.
const CRASHES_TO_BLOCK_CONTENT: usize = 3;

/// Time within which reports of crashes of one upstream are of the same crash: instances, and
/// several attempts of one instance, notice it at different times.
const SAME_CRASH_TIME: Duration = Duration::from_secs(5);

/// Time for which a request is remembered after a crash, if it is not blocked.
const SUSPECT_RETENTION: Duration = Duration::from_secs(60);

/// Time for which a blocked request is remembered after a crash or its last refusal.
pub(super) const BLOCK_RETENTION: Duration = Duration::from_secs(600);

/// Cleared crashes that are kept for a request.
const MAX_CLEARED: usize = 32;

/// Crashes and the last completed run that are known of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectRequest {
    pub crashes: Vec<Crash>,
    pub completed: Option<CompletedRun>,
    /// Crashes that a completed run cleared. Each report of them that comes later has another time,
    /// by its delay on the way, and could not be told from a new crash by that alone.
    pub cleared: Vec<Crash>,
}

/// Crash of an upstream under the request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    pub upstream: u64,
    pub at: Instant,
    /// Time of the crash, or of the last refusal because of it.
    pub used_at: Instant,
    /// Revision of the last change of this report.
    pub revision: u64,
}

/// Newest completed run; crashes before it that are reported later have no effect.
#[derive(Clone, Copy, Debug)]
pub(super) struct CompletedRun {
    pub at: Instant,
    pub revision: u64,
}

impl SuspectRequest {
    /// Returns whether there are enough crashes to block the request.
    pub fn is_block(&self, fingerprint: u64) -> bool {
        self.crashes.len() >= crashes_to_block(fingerprint)
    }

    /// Returns whether a crash is one of this request.
    pub fn has_crash(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|known| known.is_same(crash))
    }

    /// Returns whether a completed run has cleared a crash that is reported.
    pub fn has_cleared(&mut self, crash: &Crash) -> bool {
        if let Some(known) = self.cleared.iter_mut().find(|known| known.is_same(crash)) {
            known.at = known.at.max(crash.at);
            return true;
        }
        self.completed.is_some_and(|run| run.at >= crash.at)
    }

    /// Clears the crashes up to a time; returns whether there were any.
    pub fn clear_until(&mut self, at: Instant) -> bool {
        let (later, mut cleared): (Vec<Crash>, Vec<Crash>) =
            self.crashes.iter().partition(|crash| crash.at > at);
        self.crashes = later;
        let has_cleared = !cleared.is_empty();
        self.cleared.append(&mut cleared);
        let excess = self.cleared.len().saturating_sub(MAX_CLEARED);
        self.cleared.drain(..excess);
        has_cleared
    }

    /// Returns the time of the last crash, refusal or completed run.
    pub fn last_use(&self) -> Option<Instant> {
        let crashes = self.crashes.iter().map(|crash| crash.used_at);
        crashes.chain(self.completed.map(|run| run.at)).max()
    }

    /// Returns whether the request is to be forgotten.
    pub fn is_expired(&self, fingerprint: u64, now: Instant) -> bool {
        let retention = match self.is_block(fingerprint) {
            true => BLOCK_RETENTION,
            false => SUSPECT_RETENTION,
        };
        self.last_use()
            .is_none_or(|at| now.saturating_duration_since(at) >= retention)
    }

    /// Returns the reports that changed after a revision.
    pub fn changed_after(
        &self,
        revision: u64,
        fingerprint: u64,
        now: Instant,
    ) -> impl Iterator<Item = CrashReport> {
        let age_ms = move |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let crashes = self.crashes.iter();
        let crashes = crashes.filter(move |crash| crash.revision > revision);
        let crashes = crashes.map(move |crash| CrashReport {
            age_ms: age_ms(crash.at),
            unused_ms: age_ms(crash.used_at),
            ..CrashReport::new(fingerprint, crash.upstream)
        });
        let completed = self.completed.filter(|run| run.revision > revision);
        let completed = completed.map(|run| CrashReport {
            age_ms: age_ms(run.at),
            unused_ms: age_ms(run.at),
            ..CrashReport::completed(fingerprint)
        });
        completed.into_iter().chain(crashes)
    }
}

impl Crash {
    /// Records that the request was refused because of this crash.
    pub fn renew(&mut self, used_at: Instant, revision: u64) {
        self.used_at = used_at;
        self.revision = revision;
    }

    /// Returns whether two reports are of the same crash.
    pub fn is_same(&self, other: &Crash) -> bool {
        let apart = self.at.max(other.at) - self.at.min(other.at);
        self.upstream == other.upstream && apart < SAME_CRASH_TIME
    }
}

/// Returns the number of crashes after which a request is blocked.
pub(super) fn crashes_to_block(fingerprint: u64) -> usize {
    match is_of_content(fingerprint) {
        true => CRASHES_TO_BLOCK_CONTENT,
        false => CRASHES_TO_BLOCK,
    }
}
