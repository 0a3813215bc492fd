use crate::scenario::{Request, Scenario};
use crate::world::{Event, Outcome, World};

/// A way to bring requests to upstreams.
pub trait Router {
    /// Acts on an event.
    fn on(&mut self, event: Event, world: &mut World);
}

/// Returns what becomes of the requests of a scenario.
pub fn run<R: Router>(mut router: R, scenario: &Scenario, requests: &[Request]) -> Outcome {
    let mut world = World::new(scenario, requests);
    while let Some(event) = world.next() {
        router.on(event, &mut world);
    }
    world.outcome
}
