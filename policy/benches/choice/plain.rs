use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::router::Router;
use crate::scenario::Scenario;
use crate::world::{Event, World};

/// Requests that wait at an upstream for each of its slots before it sheds.
const BACKLOG_PER_SLOT: usize = 2;

/// How an upstream is chosen without counts of one's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// One after the other.
    RoundRobin,
    /// Any.
    Random,
    /// The least loaded on reports that are up to a second old.
    LeastReported,
}

/// Sends every request on at once; it waits at the upstream.
#[derive(Debug)]
pub struct Plain {
    rule: Rule,
    turn: usize,
    reported: Vec<usize>,
    rng: ChaCha8Rng,
}

impl Plain {
    pub fn new(rule: Rule, scenario: &Scenario) -> Self {
        Self {
            rule,
            turn: 0,
            reported: vec![0; scenario.fleet.upstreams as usize],
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
        }
    }

    fn choose(&mut self) -> usize {
        let count = self.reported.len();
        match self.rule {
            Rule::RoundRobin => {
                self.turn = (self.turn + 1) % count;
                self.turn
            }
            Rule::Random => self.rng.random_range(0..count),
            Rule::LeastReported => {
                let least = self.reported.iter().min().copied().unwrap_or(0);
                let ties: Vec<usize> = (0..count).filter(|u| self.reported[*u] == least).collect();
                ties[self.rng.random_range(0..ties.len())]
            }
        }
    }

    fn arrive(&mut self, request: usize, world: &mut World) {
        let upstream = self.choose();
        let target = &mut world.upstreams[upstream];
        if target.running < target.slots {
            world.start(request, upstream);
        } else if target.backlog.len() < usize::from(target.slots) * BACKLOG_PER_SLOT {
            target.backlog.push_back(request);
        } else {
            world.refuse(false);
        }
    }

    fn start_next(&mut self, upstream: usize, world: &mut World) {
        while let Some(request) = world.upstreams[upstream].backlog.pop_front() {
            if world.deadline_us(request) > world.now_us {
                world.start(request, upstream);
                return;
            }
            world.expire();
        }
    }
}

impl Router for Plain {
    fn on(&mut self, event: Event, world: &mut World) {
        match event {
            Event::Arrival { request } => self.arrive(request, world),
            Event::End { upstream, .. } => self.start_next(upstream, world),
            Event::Report => {
                let loads = world.upstreams.iter();
                self.reported = loads
                    .map(|u| usize::from(u.running) + u.backlog.len())
                    .collect();
            }
            Event::GiveUp { .. } | Event::Tick | Event::Flush => {}
        }
    }
}
