//! Simulation of entry instances that admit requests of customers to upstreams by fair shares. The
//! clock is simulated as well.

use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use laburnumdeal_model::{Item, ItemKey, ItemValue, Items, NamedItem, RouteItem, ServiceItem};
use laburnumdeal_policy::customers::{BootTime, FairClass, FairCustomer, FairRefusal, FairShares};
use laburnumdeal_policy::steer::{
    AttemptOutcome, Decision, LoadBalancer, LoadBalancerSettings, Places, RequestContext,
    Selection, SharedReport, UpstreamLoad, UpstreamRecord,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

const UPSTREAMS: usize = 4;
const SLOTS: usize = 10;
const SERVICE_MS: u64 = 100;
const OBJECTS: u64 = 400;
const REPORT_INTERVAL_MS: u64 = 200;

/// Requests per second that the upstreams complete.
pub const ROOM_PER_S: f64 = (UPSTREAMS * SLOTS) as f64 * 1_000.0 / SERVICE_MS as f64;

/// Requests of a customer by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    pub arrived: u32,
    pub admitted: u32,
    /// Refused as beyond its share, or as less urgent than such a request.
    pub withheld: u32,
    /// Refused for want of room.
    pub busy: u32,
}

impl Totals {
    /// Returns the fraction of the requests that were refused.
    pub fn lost(&self) -> f64 {
        1.0 - f64::from(self.admitted) / f64::from(self.arrived.max(1))
    }
}

/// Customer of a run: its priority, and its requests per second by the time in milliseconds.
pub struct Load {
    pub priority: u32,
    pub per_s: Box<dyn Fn(u64) -> f64>,
}

impl Load {
    pub fn steady(priority: u32, per_s: f64) -> Self {
        Self {
            priority,
            per_s: Box::new(move |_| per_s),
        }
    }
}

#[derive(Default)]
struct Upstream {
    running: usize,
    waiting: VecDeque<usize>,
}

struct Sent {
    instance: usize,
    upstream: usize,
    decision: Decision,
    object: u64,
    sent_ms: u64,
}

pub struct FairRun {
    pub totals: Vec<Totals>,
    /// Time of the last request that was refused as beyond its customer's share.
    pub last_withheld_ms: u64,
    /// Requests that were completed while the totals counted.
    pub completed: u32,
    /// Shortest and longest time to come back.
    pub retry_range: (Duration, Duration),
    pub shares: Vec<FairShares>,
    loads: Vec<Load>,
    balancers: Vec<LoadBalancer>,
    upstreams: Vec<Upstream>,
    sent: Vec<Sent>,
    /// Ends of requests; the earliest is the greatest.
    ends: BinaryHeap<std::cmp::Reverse<(u64, usize)>>,
    by_id: HashMap<String, usize>,
    generator: ChaCha8Rng,
    start: Instant,
    is_fair: bool,
}

impl FairRun {
    /// Returns a run with entry instances of one region. Without `is_fair` the shares only count.
    pub fn new(instances: usize, loads: Vec<Load>, seed: u64, is_fair: bool) -> Self {
        let start = Instant::now();
        let records: Vec<UpstreamRecord> = (0..UPSTREAMS).map(upstream).collect();
        let balancer = |number: usize| {
            let mut balancer = LoadBalancer::new(settings(number));
            balancer.update_items(&items());
            balancer.update_upstreams(&records, start);
            balancer.update_instances(Vec::new());
            balancer
        };
        Self {
            totals: vec![Totals::default(); loads.len()],
            last_withheld_ms: 0,
            completed: 0,
            retry_range: (Duration::MAX, Duration::ZERO),
            shares: vec![FairShares::default(); instances],
            loads,
            balancers: (0..instances).map(balancer).collect(),
            upstreams: (0..UPSTREAMS).map(|_| Upstream::default()).collect(),
            sent: Vec::new(),
            ends: BinaryHeap::new(),
            by_id: (0..UPSTREAMS).map(|n| (format!("u-{n}"), n)).collect(),
            generator: ChaCha8Rng::seed_from_u64(seed),
            start,
            is_fair,
        }
    }

    /// Runs for a time; the totals leave out what comes before `count_from_ms`.
    pub fn run(&mut self, duration_ms: u64, count_from_ms: u64) {
        for now_ms in 0..duration_ms {
            if now_ms == count_from_ms {
                self.totals = vec![Totals::default(); self.loads.len()];
                self.completed = 0;
            }
            if now_ms % REPORT_INTERVAL_MS == 0 {
                self.share_reports(now_ms);
            }
            while let Some(std::cmp::Reverse((at_ms, number))) = self.ends.peek().copied()
                && at_ms <= now_ms
            {
                self.ends.pop();
                self.end(number, now_ms);
            }
            for customer in 0..self.loads.len() {
                let expected = (self.loads[customer].per_s)(now_ms) / 1_000.0;
                if self.generator.random::<f64>() < expected {
                    self.arrive(customer, now_ms);
                }
            }
        }
    }

    fn arrive(&mut self, customer: usize, now_ms: u64) {
        let (instant, now) = (self.at(now_ms), boot_time(now_ms));
        let instance = self.generator.random_range(0..self.balancers.len());
        let object = self.generator.random_range(0..OBJECTS);
        let priority = self.loads[customer].priority;
        let class = FairClass::new("catalog", priority);
        let key = FairCustomer::new(&format!("customer-{customer}"));
        let shares = &mut self.shares[instance];
        let places = shares.arrive(class, key, now);
        let totals = &mut self.totals[customer];
        totals.arrived += 1;
        let request = request(
            object,
            priority,
            if self.is_fair { places } else { Places::All },
        );
        match self.balancers[instance].choose(&request, instant) {
            Selection::Send(decision) => {
                totals.admitted += 1;
                shares.admit(class, key, now);
                self.send(instance, object, decision, now_ms);
            }
            Selection::Withheld { .. } => {
                totals.withheld += 1;
                self.last_withheld_ms = now_ms;
                let refusal = shares.refuse(class, key, places, now);
                let is_over_share = matches!(refusal, FairRefusal::OverShare { .. });
                assert_eq!(is_over_share, places == Places::Spare, "{refusal:?}");
                let retry_after = refusal.retry_after();
                let (shortest, longest) = self.retry_range;
                self.retry_range = (shortest.min(retry_after), longest.max(retry_after));
            }
            Selection::Busy { .. } => {
                totals.busy += 1;
                shares.run_short(class, now);
            }
            other => panic!("{other:?}"),
        }
    }

    fn send(&mut self, instance: usize, object: u64, decision: Decision, now_ms: u64) {
        let now = self.at(now_ms);
        self.balancers[instance].begin_attempt(&decision, now);
        let id = self.balancers[instance].endpoint(decision.upstream).0;
        let upstream = self.by_id[id];
        self.sent.push(Sent {
            instance,
            upstream,
            decision,
            object,
            sent_ms: now_ms,
        });
        let number = self.sent.len() - 1;
        self.upstreams[upstream].waiting.push_back(number);
        self.start_queued(upstream, now_ms);
    }

    fn start_queued(&mut self, upstream: usize, now_ms: u64) {
        let upstream = &mut self.upstreams[upstream];
        while upstream.running < SLOTS
            && let Some(number) = upstream.waiting.pop_front()
        {
            upstream.running += 1;
            let ends = std::cmp::Reverse((now_ms + SERVICE_MS, number));
            self.ends.push(ends);
        }
    }

    fn end(&mut self, number: usize, now_ms: u64) {
        let now = self.at(now_ms);
        let sent = &self.sent[number];
        let upstream = &mut self.upstreams[sent.upstream];
        upstream.running -= 1;
        let load = UpstreamLoad {
            running: upstream.running as u32,
            waiting: upstream.waiting.len() as u32,
            slots: SLOTS as u32,
            pace_percent: None,
        };
        let balancer = &mut self.balancers[sent.instance];
        balancer.record_load(sent.decision.upstream, load, now);
        let outcome = AttemptOutcome::Answered {
            took_ms: (now_ms - sent.sent_ms) as f64,
            failed: false,
        };
        balancer.end_attempt(&sent.decision, "all", sent.object, outcome, now);
        self.completed += 1;
        self.start_queued(self.sent[number].upstream, now_ms);
    }

    fn share_reports(&mut self, now_ms: u64) {
        let now = self.at(now_ms);
        let since = self.at(now_ms.saturating_sub(2 * REPORT_INTERVAL_MS));
        let mut all = SharedReport::default();
        for balancer in &mut self.balancers {
            let report = balancer.take_report(since, now);
            all.loads.extend(report.loads);
            all.objects.extend(report.objects);
        }
        for balancer in &mut self.balancers {
            balancer.merge_report(&all, now);
        }
    }

    fn at(&self, now_ms: u64) -> Instant {
        self.start + Duration::from_millis(now_ms)
    }
}

pub fn boot_time(now_ms: u64) -> BootTime {
    // Some time has passed since the start of the machine.
    BootTime::from(Duration::from_millis(100_000 + now_ms))
}

fn request(object: u64, priority: u32, places: Places) -> RequestContext<'static> {
    RequestContext {
        route: "all",
        service: "catalog",
        object,
        regions: &[],
        tried: &[],
        time_left: Duration::from_millis(800),
        elapsed: Duration::ZERO,
        target_latency: Duration::from_millis(400),
        priority,
        places,
    }
}

fn upstream(number: usize) -> UpstreamRecord {
    UpstreamRecord {
        id: format!("u-{number}"),
        service: "catalog".into(),
        address: format!("127.0.0.1:{}", 9_000 + number).parse().unwrap(),
        zone: "a1".into(),
        slots: SLOTS as u32,
        leaving: false,
        cold_ms: 0,
    }
}

fn settings(number: usize) -> LoadBalancerSettings {
    LoadBalancerSettings {
        instance: format!("e-{number}"),
        region: "a".into(),
        zone_regions: HashMap::from([("a1".to_owned(), "a".to_owned())]),
        cold_overshoot: 1.5,
        cold_slack: 5.0,
        max_region_shift: 0.15,
        places_by_room: false,
        learns_capacity: false,
        shares_speed: false,
    }
}

fn items() -> Items {
    let route = RouteItem {
        host: "shop.example".into(),
        path_prefix: "/".into(),
        idempotent: true,
        timeout_ms: 800,
        target_latency_ms: 400,
        max_attempts: 2,
        priority: 2,
        services: vec![("catalog".into(), 1_000)],
        regions: Vec::new(),
        affinity: true,
        is_public: false,
    };
    let service = ServiceItem {
        health_path: "/health".into(),
        connections: 330,
        warm_up_ms: 3_000,
        warm_up_milli_per_s: 15_000,
    };
    let changes = [
        named(ItemKey::Service("catalog".into()), service.into()),
        named(ItemKey::Route("all".into()), route.into()),
    ];
    Items::default().merged(&changes).unwrap()
}

fn named(key: ItemKey, value: ItemValue) -> NamedItem {
    let item = Item {
        version: 1,
        value: Some(value),
        original: String::new(),
    };
    NamedItem { key, item }
}
