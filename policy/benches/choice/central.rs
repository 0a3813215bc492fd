use std::collections::VecDeque;

use crate::router::Router;
use crate::scenario::{SERVICE_MEAN_US, Scenario};
use crate::world::{Event, World};

/// One queue before all upstreams that knows their true slots and speeds.
#[derive(Debug)]
pub struct Central {
    holds: bool,
    queue: VecDeque<usize>,
    queue_max: usize,
}

impl Central {
    /// Returns a queue; one that holds lets a request wait for a fast upstream when that is
    /// expected to answer sooner.
    pub fn new(holds: bool, scenario: &Scenario) -> Self {
        let slots = scenario.fleet.upstreams as usize * usize::from(scenario.fleet.slots);
        Self {
            holds,
            queue: VecDeque::new(),
            queue_max: slots * 2,
        }
    }

    fn dispatch(&mut self, world: &mut World) {
        while let Some(request) = self.queue.front().copied() {
            if world.deadline_us(request) <= world.now_us {
                self.queue.pop_front();
                world.expire();
                continue;
            }
            let Some(upstream) = fastest(world) else {
                return;
            };
            if self.holds && is_worth_waiting(world, upstream) {
                return;
            }
            self.queue.pop_front();
            world.start(request, upstream);
        }
    }
}

impl Router for Central {
    fn on(&mut self, event: Event, world: &mut World) {
        if let Event::Arrival { request } = event {
            match self.queue.len() < self.queue_max {
                true => self.queue.push_back(request),
                false => world.refuse(false),
            }
        }
        self.dispatch(world);
    }
}

fn fastest(world: &World) -> Option<usize> {
    let free = (0..world.upstreams.len()).filter(|u| {
        let upstream = &world.upstreams[*u];
        upstream.running < upstream.slots
    });
    free.min_by(|a, b| {
        let (a, b) = (&world.upstreams[*a], &world.upstreams[*b]);
        a.factor().total_cmp(&b.factor())
    })
}

/// Returns whether a slot of a faster upstream is expected soon enough to answer earlier.
fn is_worth_waiting(world: &World, upstream: usize) -> bool {
    let factor = world.upstreams[upstream].factor();
    let faster = world
        .upstreams
        .iter()
        .filter(|other| other.factor() < factor * 0.9);
    let rate: f64 = faster
        .map(|other| f64::from(other.running) / other.factor())
        .sum();
    rate > 0.0
        && SERVICE_MEAN_US as f64 / rate + (SERVICE_MEAN_US as f64)
            < SERVICE_MEAN_US as f64 * factor
}
