use crate::scenario::{Request, Scenario};
use crate::simulation::{Event, Outcome, Simulation};

/// A policy that routes requests to upstreams.
pub trait Router {
    /// Handles an event.
    fn on(&mut self, event: Event, simulation: &mut Simulation);
}

/// Simulates a scenario and returns the outcome of its requests.
pub fn run<R: Router>(mut router: R, scenario: &Scenario, requests: &[Request]) -> Outcome {
    let mut simulation = Simulation::new(scenario, requests);
    while let Some(event) = simulation.next() {
        router.on(event, &mut simulation);
    }
    simulation.outcome
}
