use std::collections::BTreeMap;
use std::time::Duration;

use laburnumdeal_model::{Term, Version};
use laburnumdeal_policy::customers::{
    BootTime, KeyLease, QuotaBank, QuotaDecision, QuotaGrant, QuotaLimit, QuotaRefusal,
    QuotaReport, QuotaSettings, QuotaShares, ReportHeader,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checker::Checker;

pub const TICK_MS: u64 = 5;
pub const CUSTOMER: &str = "ama";

/// Time for which a proof holds.
const LEASE: Duration = Duration::from_secs(4);

const INTERVAL_MS: u64 = 500;
const MIN_INTERVAL_MS: u64 = 100;
const TIMEOUT_MS: u64 = 600;
const MAX_WAIT_MS: u64 = 250;

/// What an instance meets on its way to the control instances.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    pub loses_asks: bool,
    pub loses_replies: bool,
}

/// Outcomes of the requests at one instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    pub arrived: u32,
    pub admitted: u32,
    pub over_limit: u32,
    pub unknown: u32,
    pub waited_ms: u64,
}

pub struct Instance {
    pub name: String,
    pub shares: QuotaShares,
    pub lease: KeyLease,
    pub start: u64,
    pub limit: (QuotaLimit, Version),
    pub link: Link,
    pub rate_per_s: f64,
    pub suspended_until_ms: u64,
    pub outcomes: Outcomes,
    asked_at_ms: u64,
    is_asking: bool,
    wants_answer: bool,
    waiting: Vec<u64>,
}

enum Message {
    Ask {
        from: usize,
        asked_at: BootTime,
        header: ReportHeader,
        reports: Vec<QuotaReport>,
    },
    Reply {
        to: usize,
        start: u64,
        asked_at: BootTime,
        version: Version,
        sequence: u64,
        bank: Term,
        settled: bool,
        grants: Vec<QuotaGrant>,
    },
}

/// Instances with callers of one customer, and the banks of the control instances. Time passes in
/// ticks.
pub struct QuotaRun {
    pub settings: QuotaSettings,
    pub now_ms: u64,
    pub instances: Vec<Instance>,
    pub banks: Vec<QuotaBank>,
    pub leader: Option<(usize, Term)>,
    pub bank_suspended_until_ms: u64,
    /// Shortest and longest time on the way, and the parts of the messages that are lost, come
    /// twice, or come up to 12 s late.
    pub delay_ms: (u64, u64),
    pub lost: f64,
    pub doubled: f64,
    pub late: f64,
    /// Whether a new bank takes nothing to be held: a fault that the checker has to find.
    pub forgets: bool,
    /// Whether proofs count from their arrival: another fault that the checker has to find.
    pub proves_from_arrival: bool,
    /// Times at which the versions after the first were confirmed.
    pub confirmed_ms: Vec<u64>,
    pub checker: Checker,
    pub allowed: u32,
    pub messages: u64,
    pub generator: ChaCha8Rng,
    on_the_way: BTreeMap<(u64, u64), Message>,
    next_id: u64,
}

impl QuotaRun {
    pub fn new(seed: u64, instances: usize, limit: QuotaLimit) -> Self {
        let settings = QuotaSettings::default();
        let mut run = Self {
            settings,
            now_ms: 1_000,
            instances: Vec::new(),
            banks: vec![QuotaBank::new(settings); 3],
            leader: None,
            bank_suspended_until_ms: 0,
            delay_ms: (5, 30),
            lost: 0.0,
            doubled: 0.0,
            late: 0.0,
            forgets: false,
            proves_from_arrival: false,
            confirmed_ms: Vec::new(),
            checker: Checker::default(),
            allowed: settings.max_requests(limit),
            messages: 0,
            generator: ChaCha8Rng::seed_from_u64(seed),
            on_the_way: BTreeMap::new(),
            next_id: 0,
        };
        for number in 0..instances {
            run.add_instance(format!("entry-{number}"), (limit, Version(1)));
        }
        run.elect(0, true);
        run
    }

    pub fn now(&self) -> BootTime {
        BootTime::from(Duration::from_millis(self.now_ms))
    }

    fn add_instance(&mut self, name: String, limit: (QuotaLimit, Version)) {
        let start = self.generator.random();
        self.instances.push(Instance {
            shares: QuotaShares::new(&name, start, self.settings, self.now()),
            lease: KeyLease::new(LEASE),
            name,
            start,
            limit,
            link: Link::default(),
            rate_per_s: 0.0,
            suspended_until_ms: 0,
            outcomes: Outcomes::default(),
            asked_at_ms: self.generator.random_range(0..INTERVAL_MS),
            is_asking: false,
            wants_answer: false,
            waiting: Vec::new(),
        });
    }

    /// Ends the process of an instance and starts it again.
    pub fn restart(&mut self, number: usize) {
        let start = self.generator.random();
        let now = self.now();
        let instance = &mut self.instances[number];
        instance.start = start;
        instance.shares = QuotaShares::new(&instance.name, start, self.settings, now);
        instance.lease = KeyLease::new(LEASE);
        instance.waiting.clear();
        instance.is_asking = false;
    }

    /// Makes the next term's leader.
    pub fn elect(&mut self, bank: usize, is_blank: bool) {
        let last = self.banks.iter().map(QuotaBank::term).max().unwrap();
        let term = Term(last.0 + 1);
        let now = self.now();
        self.banks[bank].lead(term, is_blank || self.forgets, now);
        self.leader = Some((bank, term));
    }

    /// Returns the committed version.
    pub fn committed(&self) -> Version {
        Version(1 + self.confirmed_ms.len() as u64)
    }

    /// Commits and confirms a further version, if there is a leader.
    pub fn commit(&mut self) {
        if self.leader.is_some() && self.bank_suspended_until_ms <= self.now_ms {
            self.confirmed_ms.push(self.now_ms);
        }
    }

    /// Checks that an instance whose lease holds has all that was confirmed a lease ago.
    fn check_lease(&mut self, number: usize) {
        let instance = &self.instances[number];
        let active = instance.limit.1;
        if instance.lease.check(active, self.now()).is_err() {
            return;
        }
        let lacking = self.confirmed_ms.get(active.0 as usize - 1);
        let oldest_ms = self.now_ms.saturating_sub(LEASE.as_millis() as u64);
        self.checker.leases += 1;
        if lacking.is_some_and(|confirmed_ms| *confirmed_ms < oldest_ms) {
            self.checker.stale += 1;
        }
    }

    pub fn set_rates(&mut self, rate_per_s: impl Fn(usize) -> f64) {
        for (number, instance) in self.instances.iter_mut().enumerate() {
            instance.rate_per_s = rate_per_s(number);
        }
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.tick();
        }
    }

    /// Sums up the outcomes since the last call.
    pub fn take_outcomes(&mut self) -> Outcomes {
        let mut sum = Outcomes::default();
        for instance in &mut self.instances {
            let outcomes = std::mem::take(&mut instance.outcomes);
            sum.arrived += outcomes.arrived;
            sum.admitted += outcomes.admitted;
            sum.over_limit += outcomes.over_limit;
            sum.unknown += outcomes.unknown;
            sum.waited_ms += outcomes.waited_ms;
        }
        sum
    }

    pub fn tick(&mut self) {
        self.now_ms += TICK_MS;
        while let Some(entry) = self.on_the_way.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let message = entry.remove();
            self.deliver(message);
        }
        for number in 0..self.instances.len() {
            if self.instances[number].suspended_until_ms <= self.now_ms {
                self.check_lease(number);
                self.serve(number);
                self.ask(number);
            }
        }
    }

    fn serve(&mut self, number: usize) {
        let now = self.now();
        let (now_ms, window_ms) = (self.now_ms, self.settings.window.as_millis() as u64);
        let instance = &mut self.instances[number];
        let arrival = instance.rate_per_s * TICK_MS as f64 / 1_000.0;
        if self.generator.random_bool(arrival) {
            instance.outcomes.arrived += 1;
            instance.shares.add_arrival(CUSTOMER, instance.limit.0, now);
            instance.waiting.push(now_ms);
        }
        instance.wants_answer = false;
        for arrived_ms in std::mem::take(&mut instance.waiting) {
            let arrived_at = BootTime::from(Duration::from_millis(arrived_ms));
            let decision = instance.shares.decide(CUSTOMER, arrived_at, now);
            let refusal = match decision {
                QuotaDecision::Admitted => {
                    instance.outcomes.admitted += 1;
                    instance.outcomes.waited_ms += now_ms - arrived_ms;
                    self.checker.admit(now_ms, window_ms, self.allowed);
                    continue;
                }
                QuotaDecision::Ask if now_ms - arrived_ms < MAX_WAIT_MS => {
                    instance.wants_answer = true;
                    instance.waiting.push(arrived_ms);
                    continue;
                }
                QuotaDecision::Ask => instance.shares.unknown(CUSTOMER, now),
                QuotaDecision::Refused(refusal) => refusal,
            };
            match refusal {
                QuotaRefusal::OverLimit { .. } => instance.outcomes.over_limit += 1,
                QuotaRefusal::Unknown { .. } => instance.outcomes.unknown += 1,
            }
        }
    }

    fn ask(&mut self, number: usize) {
        let now = self.now();
        let instance = &mut self.instances[number];
        let since = self.now_ms.saturating_sub(instance.asked_at_ms);
        if instance.is_asking && since < TIMEOUT_MS {
            return;
        }
        let is_needed = instance.wants_answer && since >= MIN_INTERVAL_MS;
        if instance.shares.is_empty() || !(is_needed || since >= INTERVAL_MS) {
            return;
        }
        (instance.is_asking, instance.asked_at_ms) = (true, self.now_ms);
        let (header, reports) = instance.shares.begin_report(instance.limit.1, now);
        let is_lost = instance.link.loses_asks;
        let message = || Message::Ask {
            from: number,
            asked_at: now,
            header: header.clone(),
            reports: reports.clone(),
        };
        self.send(is_lost, message);
    }

    fn send(&mut self, is_lost: bool, message: impl Fn() -> Message) {
        self.messages += 1;
        let copies = 1 + usize::from(self.generator.random_bool(self.doubled));
        for _ in 0..copies {
            if is_lost || self.generator.random_bool(self.lost) {
                continue;
            }
            let longest = match self.generator.random_bool(self.late) {
                true => 12_000,
                false => self.delay_ms.1,
            };
            let delay = self.generator.random_range(self.delay_ms.0..=longest);
            self.next_id += 1;
            self.on_the_way
                .insert((self.now_ms + delay, self.next_id), message());
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Ask {
                from,
                asked_at,
                header,
                reports,
            } => self.answer((from, asked_at), &header, &reports),
            Message::Reply {
                to,
                start,
                asked_at,
                version,
                sequence,
                bank,
                settled,
                grants,
            } => {
                let now = self.now();
                let proven_at = if self.proves_from_arrival {
                    now
                } else {
                    asked_at
                };
                let instance = &mut self.instances[to];
                if instance.start == start && instance.suspended_until_ms <= self.now_ms {
                    instance.is_asking = false;
                    instance.lease.record(proven_at, version);
                    instance
                        .shares
                        .finish_report(sequence, bank, settled, &grants);
                }
            }
        }
    }

    fn answer(
        &mut self,
        (from, asked_at): (usize, BootTime),
        header: &ReportHeader,
        reports: &[QuotaReport],
    ) {
        let now = self.now();
        let Some((bank, term)) = self
            .leader
            .filter(|_| self.bank_suspended_until_ms <= self.now_ms)
        else {
            return;
        };
        let names = self
            .instances
            .iter()
            .map(|instance| instance.name.clone())
            .collect();
        let bank = &mut self.banks[bank];
        let Some(grants) = bank.exchange(header, reports, || Some(names), now) else {
            return;
        };
        let settled = bank.is_settled();
        let is_lost = self.instances[from].link.loses_replies;
        let version = self.committed();
        let reply = || Message::Reply {
            to: from,
            start: header.start,
            asked_at,
            version,
            sequence: header.sequence,
            bank: term,
            settled,
            grants: grants.clone(),
        };
        self.send(is_lost, reply);
    }
}
