use std::collections::HashMap;

use laburnumdeal_model::{Term, Version};

use crate::customers::{
    BootTime, QuotaDecision, QuotaGrant, QuotaLimit, QuotaRefusal, QuotaReport, QuotaSettings,
    QuotaShare, QuotaStanding, ReportHeader,
};

/// Shares of an instance in the quotas of the customers that use it.
///
/// # Examples
///
/// ```
/// use laburnumdeal_model::{Term, Version};
/// use laburnumdeal_policy::customers::{
///     BootTime, QuotaDecision, QuotaGrant, QuotaLimit, QuotaSettings, QuotaShares,
/// };
///
/// let now = BootTime::default();
/// let mut shares = QuotaShares::new("entry-1", 7, QuotaSettings::default(), now);
/// let limit = QuotaLimit { milli_per_s: 8_000, burst: 10 };
/// shares.add_arrival("ama", limit, now);
/// assert_eq!(shares.decide("ama", now, now), QuotaDecision::Ask);
/// let (header, reports) = shares.begin_report(Version(1), now);
/// assert_eq!((reports[0].held, reports[0].wanted), (0, 1));
/// let grant = QuotaGrant { customer: "ama".into(), share: 2 };
/// shares.finish_report(header.sequence, Term(1), true, &[grant]);
/// assert_eq!(shares.decide("ama", now, now), QuotaDecision::Admitted);
/// ```
#[derive(Clone, Debug)]
pub struct QuotaShares {
    instance: String,
    start: u64,
    started_at: BootTime,
    settings: QuotaSettings,
    shares: HashMap<String, QuotaShare>,
    bank: Term,
    sequence: u64,
    /// Time and reports of the message that may still be answered.
    asked_at: BootTime,
    asked: Vec<QuotaReport>,
}

impl QuotaShares {
    /// Creates the shares of an instance that starts at `now` with the random number `start`.
    pub fn new(instance: &str, start: u64, settings: QuotaSettings, now: BootTime) -> Self {
        Self {
            instance: instance.to_owned(),
            start,
            started_at: now,
            settings,
            shares: HashMap::new(),
            bank: Term::default(),
            sequence: 0,
            asked_at: now,
            asked: Vec::new(),
        }
    }

    /// Counts a request that has just arrived.
    pub fn add_arrival(&mut self, customer: &str, limit: QuotaLimit, now: BootTime) {
        if !self.shares.contains_key(customer) {
            self.shares
                .insert(customer.to_owned(), QuotaShare::default());
        }
        if let Some(share) = self.shares.get_mut(customer) {
            share.add_arrival(limit, &self.settings, now);
        }
    }

    /// Decides on a request that was counted at `arrived_at`.
    pub fn decide(&mut self, customer: &str, arrived_at: BootTime, now: BootTime) -> QuotaDecision {
        match self.shares.get_mut(customer) {
            Some(share) => share.decide(&self.settings, arrived_at, now),
            None => QuotaDecision::Ask,
        }
    }

    /// Gives back what a request took that was admitted at a time, and then did not run.
    pub fn give_back(&mut self, customer: &str, admitted_at: BootTime) {
        if let Some(share) = self.shares.get_mut(customer) {
            share.give_back(admitted_at);
        }
    }

    /// Refuses a request for which no answer came in time.
    pub fn unknown(&mut self, customer: &str, now: BootTime) -> QuotaRefusal {
        let share = self.shares.entry(customer.to_owned()).or_default();
        share.unknown(now)
    }

    /// Returns what the instance has of the quota of a customer; `None` without recent requests.
    pub fn standing(&mut self, customer: &str, now: BootTime) -> Option<QuotaStanding> {
        let share = self.shares.get_mut(customer)?;
        Some(share.standing(&self.settings, now))
    }

    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    /// Makes the next message to the bank. An answer to an earlier one is of no use from now on.
    pub fn begin_report(
        &mut self,
        version: Version,
        now: BootTime,
    ) -> (ReportHeader, Vec<QuotaReport>) {
        self.sequence += 1;
        self.asked_at = now;
        let settings = &self.settings;
        let reports = self
            .shares
            .iter_mut()
            .map(|(customer, share)| share.report(customer, settings, now));
        self.asked = reports.collect();
        let header = ReportHeader {
            instance: self.instance.clone(),
            start: self.start,
            uptime_ms: now.since(self.started_at).as_millis() as u64,
            sequence: self.sequence,
            bank: self.bank,
            version,
        };
        (header, self.asked.clone())
    }

    /// Applies the answer of the bank of a term to the message with a sequence number. Ignores it
    /// unless that is the last message, and not answered before.
    pub fn finish_report(
        &mut self,
        sequence: u64,
        bank: Term,
        is_settled: bool,
        grants: &[QuotaGrant],
    ) {
        if sequence != self.sequence {
            return;
        }
        self.bank = bank;
        for report in std::mem::take(&mut self.asked) {
            if let Some(grant) = grants.iter().find(|g| g.customer == report.customer) {
                self.grant(&report, grant.share, is_settled);
            }
        }
    }

    fn grant(&mut self, report: &QuotaReport, granted: u32, is_settled: bool) {
        let Some(share) = self.shares.get_mut(&report.customer) else {
            return;
        };
        let asked = (report, self.asked_at);
        share.grant(granted, is_settled, asked, &self.settings);
        let is_released = (report.held, report.wanted, granted) == (0, 0, 0);
        // What has arrived since the report keeps the share.
        if is_released && share.is_idle(&self.settings, self.asked_at) {
            self.shares.remove(&report.customer);
        }
    }
}
