use std::collections::{HashMap, HashSet};
use std::time::Duration;

use laburnumdeal_model::Term;

use crate::customers::quota_account::{Knowledge, QuotaAccount, SenderKey};
use crate::customers::{BootTime, QuotaGrant, QuotaReport, QuotaSettings, ReportHeader};

/// Time by which charges outlast the shares of their senders, for clocks that run at different
/// rates: 2 in 1,000 of the time.
const CLOCK_MARGIN: Duration = Duration::from_millis(20);

/// Interval at which charges are checked for their end.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which the last sequence number of a silent sender is kept.
const SENDER_TIME: Duration = Duration::from_secs(60);

/// Gives shares of the customers' quotas to instances; at the leader of the change log.
///
/// For each customer, the shares charged to all starts of instances together stay within the limit.
/// A report lowers a charge at once; that of a silent sender stays until its share has ended, and
/// one window more. A new leader divides only what instances have told it that they hold, until it
/// knows all that may be held.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{Term, Version};
/// use laburnumdeal_policy::customers::{
///     BootTime, QuotaBank, QuotaLimit, QuotaReport, QuotaSettings, ReportHeader,
/// };
///
/// let now = BootTime::default();
/// let mut bank = QuotaBank::new(QuotaSettings::default());
/// bank.lead(Term(1), true, now);
/// let header = ReportHeader {
///     instance: "entry-1".into(), start: 7, uptime_ms: 0, sequence: 1,
///     bank: Term(0), version: Version(1),
/// };
/// let limit = QuotaLimit { milli_per_s: 8_000, burst: 10 };
/// let report = QuotaReport { customer: "ama".into(), limit, share: 0, held: 0, wanted: 40 };
/// let grants = bank.exchange(&header, &[report], || None, now).unwrap();
/// assert!((40..=55).contains(&grants[0].share));
/// ```
#[derive(Clone, Debug)]
pub struct QuotaBank {
    settings: QuotaSettings,
    term: Term,
    led_since: BootTime,
    is_settled: bool,
    accounts: HashMap<String, QuotaAccount>,
    senders: HashMap<(String, u64), Sender>,
    next_key: SenderKey,
    /// Instances that have told this bank all that they and their earlier starts hold.
    known: HashSet<String>,
    expired_at: BootTime,
}

#[derive(Clone, Copy, Debug)]
struct Sender {
    key: SenderKey,
    sequence: u64,
    received_at: BootTime,
}

impl QuotaBank {
    /// Creates a bank that does not lead yet.
    pub fn new(settings: QuotaSettings) -> Self {
        Self {
            settings,
            term: Term::default(),
            led_since: BootTime::default(),
            is_settled: false,
            accounts: HashMap::new(),
            senders: HashMap::new(),
            next_key: 0,
            known: HashSet::new(),
            expired_at: BootTime::default(),
        }
    }

    /// Tells the bank that its replica leads a term. In a new term it forgets what it knew; an earlier one is ignored. With
    /// `is_blank` no configuration was ever committed, so no shares can exist.
    pub fn lead(&mut self, term: Term, is_blank: bool, now: BootTime) {
        if term < self.term {
            return;
        }
        if term > self.term {
            *self = Self {
                term,
                led_since: now,
                ..Self::new(self.settings)
            };
        }
        self.is_settled |= is_blank;
    }

    /// Returns the term that the bank leads.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns whether the bank knows all shares that may be held, so that it raises shares.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Takes the reports of an instance and returns its shares, or `None` if the message is older
    /// than another from it. `now` is read after the message was received. `roster` returns the
    /// names of all instances that may hold a share, if they are known; it is called only while
    /// shares given by an earlier leader may be held.
    pub fn exchange(
        &mut self,
        header: &ReportHeader,
        reports: &[QuotaReport],
        roster: impl FnOnce() -> Option<Vec<String>>,
        now: BootTime,
    ) -> Option<Vec<QuotaGrant>> {
        self.expire(now);
        let sender = self.sender(header, now)?;
        self.settle(header, roster, now);
        let knowledge = Knowledge {
            all: self.is_settled,
            sender: header.bank == self.term,
        };
        let grants = reports.iter().map(|report| {
            let account = self.accounts.entry(report.customer.clone()).or_default();
            let input = (report, header.version);
            QuotaGrant {
                customer: report.customer.clone(),
                share: account.report(sender, input, knowledge, &self.settings, now),
            }
        });
        Some(grants.collect())
    }

    /// Returns the key of the sender, or `None` if the message is old.
    fn sender(&mut self, header: &ReportHeader, now: BootTime) -> Option<SenderKey> {
        let id = (header.instance.clone(), header.start);
        let next_key = self.next_key;
        let sender = self.senders.entry(id).or_insert(Sender {
            key: next_key,
            sequence: 0,
            received_at: now,
        });
        if sender.key == next_key {
            self.next_key += 1;
        }
        if header.sequence <= sender.sequence {
            return None;
        }
        (sender.sequence, sender.received_at) = (header.sequence, now);
        Some(sender.key)
    }

    /// Notes that a sender has told all that it holds, and checks whether that is now known of all.
    fn settle(
        &mut self,
        header: &ReportHeader,
        roster: impl FnOnce() -> Option<Vec<String>>,
        now: BootTime,
    ) {
        if self.is_settled {
            return;
        }
        let led_for = now.since(self.led_since);
        self.is_settled = led_for > self.settings.charge_length() + CLOCK_MARGIN;
        // Requests of an earlier start of the instance have left the window.
        let is_seasoned =
            header.uptime_ms > (self.settings.window + CLOCK_MARGIN).as_millis() as u64;
        if header.bank != self.term || !is_seasoned {
            return;
        }
        self.known.insert(header.instance.clone());
        let is_known = |roster: Vec<String>| roster.iter().all(|name| self.known.contains(name));
        self.is_settled |= roster().is_some_and(is_known);
    }

    fn expire(&mut self, now: BootTime) {
        if now.since(self.expired_at) < EXPIRY_INTERVAL {
            return;
        }
        self.expired_at = now;
        let settings = &self.settings;
        self.accounts
            .retain(|_, account| !account.expire(settings, CLOCK_MARGIN, now));
        self.senders
            .retain(|_, sender| now.since(sender.received_at) < SENDER_TIME);
    }
}
