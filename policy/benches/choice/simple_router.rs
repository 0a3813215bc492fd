use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::router::Router;
use crate::scenario::Scenario;
use crate::simulation::{Event, Simulation};

/// Requests per slot that wait at an upstream before it sheds further ones.
const BACKLOG_PER_SLOT: usize = 2;

/// Number of instances that share the upstreams.
const INSTANCES: usize = 3;

/// Selection rule of a router that has no exact counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// All upstreams in turn.
    RoundRobin,
    /// A random upstream.
    Random,
    /// The least loaded upstream by load reports that are up to a second old.
    LeastReported,
    /// The less loaded of two random upstreams. The load is the instance's own count plus the other
    /// instances' counts, which are exchanged once a second. Each instance may use every upstream.
    Snapshots,
}

/// Router that forwards every request immediately; requests wait at the upstream.
#[derive(Debug)]
pub struct SimpleRouter {
    rule: Rule,
    last_chosen: usize,
    reported: Vec<usize>,
    own: Vec<Vec<usize>>,
    snapshots: Vec<Vec<usize>>,
    rng: ChaCha8Rng,
}

impl SimpleRouter {
    pub fn new(rule: Rule, scenario: &Scenario) -> Self {
        Self {
            rule,
            last_chosen: 0,
            reported: vec![0; scenario.fleet.upstreams as usize],
            own: vec![vec![0; scenario.fleet.upstreams as usize]; INSTANCES],
            snapshots: vec![vec![0; scenario.fleet.upstreams as usize]; INSTANCES],
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
        }
    }

    fn choose(&mut self, request: usize) -> usize {
        let count = self.reported.len();
        match self.rule {
            Rule::RoundRobin => {
                self.last_chosen = (self.last_chosen + 1) % count;
                self.last_chosen
            }
            Rule::Random => self.rng.random_range(0..count),
            Rule::Snapshots => self.choose_by_snapshots(request % INSTANCES),
            Rule::LeastReported => {
                let min_load = self.reported.iter().min().copied().unwrap_or(0);
                let ties: Vec<usize> = (0..count)
                    .filter(|u| self.reported[*u] == min_load)
                    .collect();
                ties[self.rng.random_range(0..ties.len())]
            }
        }
    }

    fn choose_by_snapshots(&mut self, instance: usize) -> usize {
        let count = self.reported.len();
        let first = self.rng.random_range(0..count);
        let second = (first + self.rng.random_range(1..count)) % count;
        let load = |upstream: usize| -> usize {
            let others = (0..INSTANCES).filter(|other| *other != instance);
            let others: usize = others.map(|other| self.snapshots[other][upstream]).sum();
            others + self.own[instance][upstream]
        };
        if load(second) < load(first) {
            second
        } else {
            first
        }
    }

    fn route_request(&mut self, request: usize, simulation: &mut Simulation) {
        let upstream = self.choose(request);
        self.own[request % INSTANCES][upstream] += 1;
        let target = &mut simulation.upstreams[upstream];
        if target.running < target.slots {
            simulation.start(request, upstream);
        } else if target.backlog.len() < usize::from(target.slots) * BACKLOG_PER_SLOT {
            target.backlog.push_back(request);
        } else {
            self.own[request % INSTANCES][upstream] -= 1;
            simulation.refuse(false);
        }
    }

    fn start_next(&mut self, upstream: usize, simulation: &mut Simulation) {
        while let Some(request) = simulation.upstreams[upstream].backlog.pop_front() {
            if simulation.deadline_us(request) > simulation.now_us {
                simulation.start(request, upstream);
                return;
            }
            self.own[request % INSTANCES][upstream] -= 1;
            simulation.expire();
        }
    }
}

impl Router for SimpleRouter {
    fn on(&mut self, event: Event, simulation: &mut Simulation) {
        match event {
            Event::Report if self.rule == Rule::Snapshots => self.snapshots.clone_from(&self.own),
            Event::Arrival { request } => self.route_request(request, simulation),
            Event::End {
                request, upstream, ..
            } => {
                self.own[request % INSTANCES][upstream] -= 1;
                self.start_next(upstream, simulation);
            }
            Event::Report => {
                let loads = simulation.upstreams.iter();
                self.reported = loads
                    .map(|u| usize::from(u.running) + u.backlog.len())
                    .collect();
            }
            Event::GiveUp { .. } | Event::Tick | Event::LoadExchange | Event::Fault => {}
        }
    }
}
