//! Simulation of entry instances that choose among upstreams, which answer faster for objects in
//! their cache, under a load that varies over time. The clock is simulated as well.

use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::ops::Range;
use std::time::Duration;

use laburnumdeal_policy::steer::{
    AttemptOutcome, Decision, LoadBalancer, LoadBalancerSettings, RequestContext, Selection,
    SharedReport, SpeedStore, UpstreamKey, UpstreamLoad, UpstreamRecord, WaitNotice,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::setup::{TARGET_LATENCY, instance, load_balancer_with, request, settings};

/// Service time of a cache miss.
const MISS_MS: u64 = 480;
/// Service time of a cache hit.
const HIT_MS: u64 = 144;
/// Most requests that an upstream queues.
const QUEUE_LIMIT: usize = 27;
/// Time after which a request fails without an answer.
const TIMEOUT_MS: u64 = 800;

/// Number of requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub arrived: u32,
    pub in_target: u32,
    pub late: u32,
    pub refused: u32,
    pub failed: u32,
}

impl Totals {
    pub fn fraction_in_target(&self) -> f64 {
        f64::from(self.in_target) / f64::from(self.arrived.max(1))
    }
}

struct Upstream {
    slots: usize,
    running: usize,
    waiting: VecDeque<usize>,
    cached: VecDeque<u64>,
    cache_size: usize,
    /// Time until which it rejects requests, and asks for none in its answers.
    rejects_until_ms: u64,
    served: u32,
}

/// Request that an upstream rejected within a wait that it had asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rejection {
    pub instance: usize,
    pub upstream: usize,
}

struct Request {
    object: u64,
    instance: usize,
    decision: Decision,
    upstream: usize,
    sent_ms: u64,
    done: bool,
}

/// Time, request and whether it is the request's timeout. The earliest event is the greatest.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Event(std::cmp::Reverse<(u64, usize, bool)>);

pub struct Simulation {
    pub start: Instant,
    pub totals: Totals,
    /// Number of rejections by upstreams that ask to wait.
    pub rejections: HashMap<Rejection, u32>,
    /// Longest time after which a request was told to be sent again.
    pub longest_delay: Duration,
    balancers: Vec<LoadBalancer>,
    upstreams: Vec<Upstream>,
    requests: Vec<Request>,
    events: BinaryHeap<Event>,
    generator: ChaCha8Rng,
    objects: u64,
    speeds: SpeedStore,
    /// Times of the requests that count in the totals; of those without an answer, the timeout.
    took_ms: Vec<u64>,
    /// Time between two exchanges of reports between the instances; `None` for no exchange.
    pub report_interval_ms: Option<u64>,
    /// Factor on the service time by upstream, requests that it runs, and time.
    pub slowdown: fn(usize, usize, u64) -> f64,
    /// Factor on it by upstream and time, which the upstream reports.
    pub noise: fn(usize, u64) -> f64,
}

impl Simulation {
    /// Returns a simulation of `instances` entry instances in one region, and of upstreams.
    pub fn new(
        records: &[UpstreamRecord],
        instances: usize,
        objects: u64,
        cache_size: usize,
    ) -> Self {
        Self::with_settings(records, instances, objects, cache_size, |settings| settings)
    }

    /// Returns a simulation of entry instances with other settings.
    pub fn with_settings(
        records: &[UpstreamRecord],
        instances: usize,
        objects: u64,
        cache_size: usize,
        adapt: impl Fn(LoadBalancerSettings) -> LoadBalancerSettings,
    ) -> Self {
        let start = Instant::now();
        let balancers = (0..instances).map(|number| {
            let settings = adapt(settings(&format!("e-{number}"), "a"));
            load_balancer_with(settings, records, start)
        });
        let upstreams = records.iter().map(|record| Upstream {
            slots: record.slots as usize,
            running: 0,
            waiting: VecDeque::new(),
            cached: VecDeque::new(),
            cache_size,
            rejects_until_ms: 0,
            served: 0,
        });
        Self {
            start,
            totals: Totals::default(),
            rejections: HashMap::new(),
            longest_delay: Duration::ZERO,
            balancers: balancers.collect(),
            upstreams: upstreams.collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            generator: ChaCha8Rng::seed_from_u64(7),
            objects,
            speeds: SpeedStore::default(),
            took_ms: Vec::new(),
            report_interval_ms: None,
            slowdown: |_, _, _| 1.0,
            noise: |_, _| 1.0,
        }
    }

    /// Runs for `duration_ms` with `per_s` requests per second, by the time in milliseconds. The
    /// totals leave out the time before `count_from_ms`.
    pub fn run(&mut self, duration_ms: u64, count_from_ms: u64, per_s: impl Fn(u64) -> f64) {
        self.run_between(0..duration_ms, count_from_ms, per_s);
    }

    /// Runs a part of the time, after the parts before it.
    pub fn run_between(
        &mut self,
        times_ms: Range<u64>,
        count_from_ms: u64,
        per_s: impl Fn(u64) -> f64,
    ) {
        for now_ms in times_ms {
            if now_ms == count_from_ms {
                self.totals = Totals::default();
                self.took_ms.clear();
            }
            if self
                .report_interval_ms
                .is_some_and(|interval_ms| now_ms % interval_ms == 0)
            {
                self.share_reports(now_ms);
            }
            while self
                .events
                .peek()
                .is_some_and(|event| event.0.0.0 <= now_ms)
            {
                let event = self.events.pop().unwrap().0.0;
                self.handle(event);
            }
            let mut expected = per_s(now_ms) / 1_000.0;
            while expected > 0.0 {
                if self.generator.random::<f64>() < expected {
                    self.arrive(now_ms);
                }
                expected -= 1.0;
            }
        }
    }

    /// Lets an upstream reject requests until a time, which it names in its answers.
    pub fn reject(&mut self, upstream: usize, until_ms: u64) {
        self.upstreams[upstream].rejects_until_ms = until_ms;
    }

    /// Returns the fraction of the requests sent in a time that went to some of the upstreams.
    pub fn share_of(&self, upstreams: Range<usize>, times_ms: Range<u64>) -> f64 {
        let sent = self.requests.iter();
        let sent: Vec<_> = sent
            .filter(|request| times_ms.contains(&request.sent_ms))
            .collect();
        let there = sent
            .iter()
            .filter(|request| upstreams.contains(&request.upstream));
        there.count() as f64 / sent.len().max(1) as f64
    }

    /// Returns the number of upstreams that an instance takes for slow.
    pub fn slow_count(&self, instance: usize) -> usize {
        self.balancers[instance].slow_upstreams().len()
    }

    /// Tells all instances of each other.
    pub fn introduce_instances(&mut self) {
        let records = (0..self.balancers.len()).map(|number| instance(number, "a"));
        let records: Vec<_> = records.collect();
        for balancer in &mut self.balancers {
            balancer.update_instances(records.clone());
        }
    }

    /// Returns the time that 99 of 100 requests stay below; those without an answer count as the
    /// timeout.
    pub fn p99_ms(&self) -> u64 {
        let mut took_ms = self.took_ms.clone();
        let missing = (self.totals.arrived as usize).saturating_sub(took_ms.len());
        took_ms.extend(std::iter::repeat_n(TIMEOUT_MS, missing));
        took_ms.sort_unstable();
        took_ms
            .get(took_ms.len() * 99 / 100)
            .copied()
            .unwrap_or_default()
    }

    /// Returns the number of requests that an upstream has run since the last call.
    pub fn take_served(&mut self, upstream: usize) -> u32 {
        std::mem::take(&mut self.upstreams[upstream].served)
    }

    /// Merges the reports of all instances over two intervals into every instance.
    fn share_reports(&mut self, now_ms: u64) {
        let now = self.at(now_ms);
        let window_ms = 2 * self.report_interval_ms.unwrap_or_default();
        let since = self.at(now_ms.saturating_sub(window_ms));
        let mut all = SharedReport::default();
        for balancer in &mut self.balancers {
            let report = balancer.take_report(since, now);
            all.loads.extend(report.loads);
            all.objects.extend(report.objects);
        }
        for balancer in &mut self.balancers {
            balancer.merge_report(&all, now);
        }
        let window = Duration::from_millis(window_ms);
        for balancer in &mut self.balancers {
            self.speeds.merge(&balancer.take_speeds(now), now);
            balancer.merge_speeds(&self.speeds.told_within(window, now), now);
        }
    }

    fn at(&self, now_ms: u64) -> Instant {
        self.start + Duration::from_millis(now_ms)
    }

    fn arrive(&mut self, now_ms: u64) {
        self.totals.arrived += 1;
        let object = self.generator.random_range(0..self.objects);
        let instance = self.generator.random_range(0..self.balancers.len());
        let now = self.at(now_ms);
        let mut tried: Vec<UpstreamKey> = Vec::new();
        let (number, upstream) = loop {
            let context = RequestContext {
                tried: &tried,
                ..request(object)
            };
            let decision = match self.balancers[instance].choose(&context, now) {
                Selection::Send(decision) => decision,
                Selection::Waiting { retry_after } => {
                    self.longest_delay = self.longest_delay.max(retry_after);
                    self.totals.refused += 1;
                    return;
                }
                _ => {
                    self.totals.refused += 1;
                    return;
                }
            };
            let (number, upstream) = self.send(instance, object, decision, now_ms);
            let left_ms = self.upstreams[upstream].rejects_until_ms;
            let left_ms = left_ms.saturating_sub(now_ms);
            if left_ms == 0 {
                break (number, upstream);
            }
            let rejection = Rejection { instance, upstream };
            *self.rejections.entry(rejection).or_default() += 1;
            let notice = WaitNotice::For(Duration::from_millis(left_ms));
            self.balancers[instance].record_wait(decision.upstream, notice, now);
            self.finish(number, now_ms, AttemptOutcome::Shed);
            tried.push(decision.upstream);
        };
        if self.upstreams[upstream].waiting.len() >= QUEUE_LIMIT {
            self.totals.refused += 1;
            self.finish(number, now_ms, AttemptOutcome::Shed);
            return;
        }
        self.upstreams[upstream].waiting.push_back(number);
        let timeout = Event(std::cmp::Reverse((now_ms + TIMEOUT_MS, number, true)));
        self.events.push(timeout);
        self.start_queued(upstream, now_ms);
    }

    /// Sends a request to the upstream that was chosen for it; returns its number and the upstream.
    fn send(
        &mut self,
        instance: usize,
        object: u64,
        decision: Decision,
        now_ms: u64,
    ) -> (usize, usize) {
        let now = self.at(now_ms);
        self.balancers[instance].begin_attempt(&decision, now);
        let id = self.balancers[instance].endpoint(decision.upstream).0;
        let upstream: usize = id.strip_prefix("u-").unwrap().parse().unwrap();
        let number = self.requests.len();
        self.requests.push(Request {
            object,
            instance,
            decision,
            upstream,
            sent_ms: now_ms,
            done: false,
        });
        (number, upstream)
    }

    /// Starts queued requests on free slots.
    fn start_queued(&mut self, upstream: usize, now_ms: u64) {
        while self.upstreams[upstream].running < self.upstreams[upstream].slots {
            let Some(number) = self.upstreams[upstream].waiting.pop_front() else {
                return;
            };
            if self.requests[number].done {
                continue;
            }
            let object = self.requests[number].object;
            let server = &mut self.upstreams[upstream];
            let position = server.cached.iter().position(|other| *other == object);
            let service_ms = match position {
                Some(position) => {
                    server.cached.remove(position);
                    HIT_MS
                }
                None => MISS_MS,
            };
            server.cached.push_back(object);
            if server.cached.len() > server.cache_size {
                server.cached.pop_front();
            }
            server.running += 1;
            server.served += 1;
            let slowdown = (self.slowdown)(upstream, server.running, now_ms);
            let slowdown = slowdown * (self.noise)(upstream, now_ms);
            let service_ms = (service_ms as f64 * slowdown) as u64;
            let ends = Event(std::cmp::Reverse((now_ms + service_ms, number, false)));
            self.events.push(ends);
        }
    }

    fn handle(&mut self, (now_ms, number, is_timeout): (u64, usize, bool)) {
        let upstream = self.requests[number].upstream;
        if !is_timeout {
            self.upstreams[upstream].running -= 1;
        }
        if !self.requests[number].done {
            let took_ms = now_ms - self.requests[number].sent_ms;
            if is_timeout {
                self.totals.failed += 1;
                self.finish(number, now_ms, AttemptOutcome::TimedOut);
            } else {
                match Duration::from_millis(took_ms) <= TARGET_LATENCY {
                    true => self.totals.in_target += 1,
                    false => self.totals.late += 1,
                }
                self.took_ms.push(took_ms);
                let took_ms = took_ms as f64;
                let failed = false;
                self.finish(number, now_ms, AttemptOutcome::Answered { took_ms, failed });
            }
        }
        self.start_queued(upstream, now_ms);
    }

    fn finish(&mut self, number: usize, now_ms: u64, outcome: AttemptOutcome) {
        let now = self.at(now_ms);
        let request = &mut self.requests[number];
        request.done = true;
        let server = &self.upstreams[request.upstream];
        let load = UpstreamLoad {
            running: server.running as u32,
            waiting: server.waiting.len() as u32,
            slots: server.slots as u32,
            pace_percent: Some(((self.noise)(request.upstream, now_ms) * 100.0) as u32),
        };
        let balancer = &mut self.balancers[request.instance];
        if outcome != AttemptOutcome::TimedOut {
            balancer.record_load(request.decision.upstream, load, now);
        }
        balancer.end_attempt(&request.decision, "all", request.object, outcome, now);
    }
}
