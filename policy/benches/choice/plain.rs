use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::router::Router;
use crate::scenario::Scenario;
use crate::world::{Event, World};

/// Requests that wait at an upstream for each of its slots before it sheds.
const BACKLOG_PER_SLOT: usize = 2;

/// Instances that share the upstreams.
const INSTANCES: usize = 3;

/// How an upstream is chosen without counts of one's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// One after the other.
    RoundRobin,
    /// Any.
    Random,
    /// The least loaded on reports that are up to a second old.
    LeastReported,
    /// The less loaded of two by own counts and the other instances' snapshots of theirs, which
    /// are exchanged once a second; each instance may use every upstream.
    Snapshots,
}

/// Sends every request on at once; it waits at the upstream.
#[derive(Debug)]
pub struct Plain {
    rule: Rule,
    turn: usize,
    reported: Vec<usize>,
    own: Vec<Vec<usize>>,
    snapshots: Vec<Vec<usize>>,
    rng: ChaCha8Rng,
}

impl Plain {
    pub fn new(rule: Rule, scenario: &Scenario) -> Self {
        Self {
            rule,
            turn: 0,
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
                self.turn = (self.turn + 1) % count;
                self.turn
            }
            Rule::Random => self.rng.random_range(0..count),
            Rule::Snapshots => self.by_snapshots(request % INSTANCES),
            Rule::LeastReported => {
                let least = self.reported.iter().min().copied().unwrap_or(0);
                let ties: Vec<usize> = (0..count).filter(|u| self.reported[*u] == least).collect();
                ties[self.rng.random_range(0..ties.len())]
            }
        }
    }

    fn by_snapshots(&mut self, instance: usize) -> usize {
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

    fn arrive(&mut self, request: usize, world: &mut World) {
        let upstream = self.choose(request);
        self.own[request % INSTANCES][upstream] += 1;
        let target = &mut world.upstreams[upstream];
        if target.running < target.slots {
            world.start(request, upstream);
        } else if target.backlog.len() < usize::from(target.slots) * BACKLOG_PER_SLOT {
            target.backlog.push_back(request);
        } else {
            self.own[request % INSTANCES][upstream] -= 1;
            world.refuse(false);
        }
    }

    fn start_next(&mut self, upstream: usize, world: &mut World) {
        while let Some(request) = world.upstreams[upstream].backlog.pop_front() {
            if world.deadline_us(request) > world.now_us {
                world.start(request, upstream);
                return;
            }
            self.own[request % INSTANCES][upstream] -= 1;
            world.expire();
        }
    }
}

impl Router for Plain {
    fn on(&mut self, event: Event, world: &mut World) {
        match event {
            Event::Report if self.rule == Rule::Snapshots => self.snapshots.clone_from(&self.own),
            Event::Arrival { request } => self.arrive(request, world),
            Event::End {
                request, upstream, ..
            } => {
                self.own[request % INSTANCES][upstream] -= 1;
                self.start_next(upstream, world);
            }
            Event::Report => {
                let loads = world.upstreams.iter();
                self.reported = loads
                    .map(|u| usize::from(u.running) + u.backlog.len())
                    .collect();
            }
            Event::GiveUp { .. } | Event::Tick | Event::Tell | Event::Fault => {}
        }
    }
}
