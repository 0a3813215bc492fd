use std::collections::VecDeque;

use crate::router::Router;
use crate::scenario::{SERVICE_MEAN_US, Scenario};
use crate::simulation::{Event, Simulation};

/// One queue in front of all upstreams that knows their actual slots and speeds.
#[derive(Debug)]
pub struct CentralQueue {
    waits_for_faster: bool,
    queue: VecDeque<usize>,
    max_queued: usize,
}

impl CentralQueue {
    /// Creates an empty queue. With `waits_for_faster`, a request waits for a faster upstream when
    /// that one is expected to answer earlier.
    pub fn new(waits_for_faster: bool, scenario: &Scenario) -> Self {
        let slots = scenario.fleet.upstreams as usize * usize::from(scenario.fleet.slots);
        Self {
            waits_for_faster,
            queue: VecDeque::new(),
            max_queued: slots * 2,
        }
    }

    fn dispatch(&mut self, simulation: &mut Simulation) {
        while let Some(request) = self.queue.front().copied() {
            if simulation.deadline_us(request) <= simulation.now_us {
                self.queue.pop_front();
                simulation.expire();
                continue;
            }
            let Some(upstream) = fastest(simulation) else {
                return;
            };
            if self.waits_for_faster && is_worth_waiting(simulation, upstream) {
                return;
            }
            self.queue.pop_front();
            simulation.start(request, upstream);
        }
    }
}

impl Router for CentralQueue {
    fn on(&mut self, event: Event, simulation: &mut Simulation) {
        if let Event::Arrival { request } = event {
            match self.queue.len() < self.max_queued {
                true => self.queue.push_back(request),
                false => simulation.refuse(false),
            }
        }
        self.dispatch(simulation);
    }
}

fn fastest(simulation: &Simulation) -> Option<usize> {
    let free = (0..simulation.upstreams.len()).filter(|u| {
        let upstream = &simulation.upstreams[*u];
        upstream.running < upstream.slots
    });
    free.min_by(|a, b| {
        let (a, b) = (&simulation.upstreams[*a], &simulation.upstreams[*b]);
        a.factor().total_cmp(&b.factor())
    })
}

/// Returns whether a faster upstream is expected to have a free slot soon enough to answer earlier.
fn is_worth_waiting(simulation: &Simulation, upstream: usize) -> bool {
    let factor = simulation.upstreams[upstream].factor();
    let faster = simulation
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
