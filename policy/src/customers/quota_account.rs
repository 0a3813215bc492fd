use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use laburnumdeal_model::Version;

use crate::customers::{BootTime, QuotaLimit, QuotaReport, QuotaSettings};

/// Part of the room that nobody wants which is given out as headroom; the rest stays for instances
/// that the customer's callers turn to.
const HEADROOM: f64 = 0.5;

/// Number of windows after which the rounding of scarce shares changes, so that no instance stays
/// without.
const ROTATION_WINDOWS: u64 = 2;

/// Key of a sender of reports: a start of an instance.
pub(super) type SenderKey = u32;

/// What the bank knows of shares that an earlier leader may have given.
#[derive(Clone, Copy, Debug)]
pub(super) struct Knowledge {
    /// All that may be held.
    pub all: bool,
    /// What the sender holds: its report is made after an answer of this bank.
    pub sender: bool,
}

/// Quota of one customer, as the bank gives it out.
#[derive(Clone, Debug, Default)]
pub(super) struct QuotaAccount {
    /// Version that the limit is from.
    version: Version,
    limit: QuotaLimit,
    charges: HashMap<SenderKey, Charge>,
    charged: u64,
    wanted: u64,
    /// Senders that have told this bank what they hold, and the sum of it. Until the bank is
    /// settled, they share only that.
    known: HashSet<SenderKey>,
    known_held: u64,
}

/// What the bank charges for a sender: the most that it may admit in any window.
#[derive(Clone, Copy, Debug)]
struct Charge {
    requests: u32,
    wanted: u32,
    received_at: BootTime,
}

impl QuotaAccount {
    /// Takes the report of a sender and returns its share. A sender that has not answered this bank
    /// keeps what it has until the bank is settled.
    pub fn report(
        &mut self,
        sender: SenderKey,
        (report, version): (&QuotaReport, Version),
        knowledge: Knowledge,
        settings: &QuotaSettings,
        now: BootTime,
    ) -> u32 {
        if version >= self.version {
            (self.version, self.limit) = (version, report.limit);
        }
        self.remove(sender);
        if knowledge.sender && self.known.insert(sender) {
            self.known_held += u64::from(report.held);
        }
        let max = self.max(knowledge, settings);
        let wanted = report.wanted.min(settings.max_requests(self.limit));
        let mut share = report.share;
        if knowledge.all || knowledge.sender {
            let target = self.target((sender, wanted), max, settings, now);
            let free = u64::from(max).saturating_sub(self.charged);
            share = match target > share {
                true => share.max(target.min(free as u32)),
                false => target,
            };
        }
        let charge = Charge {
            requests: share.max(report.held),
            wanted,
            received_at: now,
        };
        if (charge.requests, charge.wanted) != (0, 0) {
            self.charged += u64::from(charge.requests);
            self.wanted += u64::from(charge.wanted);
            self.charges.insert(sender, charge);
        }
        share
    }

    /// Returns the number of requests in a window that the senders may share: the limit, or what the
    /// known ones held together when they told it. That sum and what others hold are within the
    /// limit, since nobody but this bank has raised a share since it leads.
    fn max(&self, knowledge: Knowledge, settings: &QuotaSettings) -> u32 {
        let limit = settings.max_requests(self.limit);
        match knowledge.all {
            true => limit,
            false => u64::from(limit).min(self.known_held) as u32,
        }
    }

    /// Returns the share that a sender should come to hold: what it wants and some headroom, or its
    /// part in proportion to what all want.
    fn target(
        &self,
        (sender, wanted): (SenderKey, u32),
        max: u32,
        settings: &QuotaSettings,
        now: BootTime,
    ) -> u32 {
        let max = f64::from(max);
        let all_wanted = (self.wanted + u64::from(wanted)) as f64;
        if wanted == 0 {
            return 0;
        }
        let wanted = f64::from(wanted);
        if all_wanted > max {
            let rounding = rounding(sender, now.as_millis(), settings);
            return (wanted * max / all_wanted + rounding).floor() as u32;
        }
        let headroom = (HEADROOM * (max - all_wanted) / all_wanted).min(1.0);
        (wanted + (wanted * headroom).floor()) as u32
    }

    /// Drops the charges of senders that can have nothing left, and what silent ones want. Returns
    /// whether none is left.
    pub fn expire(&mut self, settings: &QuotaSettings, margin: Duration, now: BootTime) -> bool {
        let (mut charged, mut wanted) = (0, 0);
        self.charges.retain(|_, charge| {
            let age = now.since(charge.received_at);
            if age > settings.charge_length() + margin {
                return false;
            }
            if age > settings.share_length {
                charge.wanted = 0;
            }
            charged += u64::from(charge.requests);
            wanted += u64::from(charge.wanted);
            true
        });
        (self.charged, self.wanted) = (charged, wanted);
        self.charges.is_empty()
    }

    fn remove(&mut self, sender: SenderKey) {
        if let Some(charge) = self.charges.remove(&sender) {
            self.charged -= u64::from(charge.requests);
            self.wanted -= u64::from(charge.wanted);
        }
    }
}

/// Returns a number below 1 that decides whether a sender's share is rounded up; it changes with
/// time.
fn rounding(sender: SenderKey, now_ms: u64, settings: &QuotaSettings) -> f64 {
    let period_ms = settings.window.as_millis() as u64 * ROTATION_WINDOWS;
    let mut hasher = DefaultHasher::new();
    (sender, now_ms / period_ms.max(1)).hash(&mut hasher);
    (hasher.finish() >> 11) as f64 / (1u64 << 53) as f64
}
