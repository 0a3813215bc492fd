use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use crate::scenario::{DEADLINE_US, Fault, Request, SLOW_FACTOR, Scenario};

/// Answers per slot after which the caches are warm.
const WARM_ANSWERS: f64 = 40.0;

/// Additional service time of a full upstream with cold caches, as a multiple of that at full
/// speed.
const COLD_SLOWDOWN: f64 = 5.0;

/// Interval at which instances exchange their free slots.
const LOAD_EXCHANGE_INTERVAL_US: u64 = 100_000;

/// Event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// A request arrives.
    Arrival { request: usize },
    /// An attempt ends, with an answer or at its deadline.
    End {
        request: usize,
        upstream: usize,
        answered: bool,
    },
    /// A waiting request may have to give up.
    GiveUp { request: usize },
    /// The policy asked for a call at this time.
    Tick,
    /// Load reports are made.
    Report,
    /// Instances exchange their free slots.
    LoadExchange,
    /// The fault begins.
    Fault,
}

/// Actual state of one upstream.
#[derive(Clone, Debug)]
pub struct SimulatedUpstream {
    pub slots: u16,
    pub running: u16,
    pub backlog: VecDeque<usize>,
    slowdown: f64,
    is_cold: bool,
    answers: u32,
}

/// Results of one run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub latencies_us: Vec<u64>,
    pub useful_us: u64,
    pub refused: u64,
    pub refused_with_known_free_slot: u64,
    pub refused_with_unknown_free_slot: u64,
    pub late: u64,
    pub sheds: u64,
}

/// Discrete-event simulation: virtual time, actual state of the upstreams and outcome of the
/// requests.
#[derive(Debug)]
pub struct Simulation {
    pub now_us: u64,
    pub requests: Vec<Request>,
    pub upstreams: Vec<SimulatedUpstream>,
    pub outcome: Outcome,
    end_us: u64,
    flushed: usize,
    has_frozen_upstream: bool,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next_event: u64,
}

impl SimulatedUpstream {
    /// Returns the service time of a new request as a multiple of that at full speed.
    pub fn factor(&self) -> f64 {
        if !self.is_cold {
            return self.slowdown;
        }
        let slots = f64::from(self.slots);
        let warm = (f64::from(self.answers) / (WARM_ANSWERS * slots)).min(1.0);
        self.slowdown * (1.0 + COLD_SLOWDOWN * (1.0 - warm) * f64::from(self.running + 1) / slots)
    }
}

impl Simulation {
    /// Creates the simulation of a scenario before the first arrival.
    pub fn new(scenario: &Scenario, requests: &[Request]) -> Self {
        let fleet = scenario.fleet;
        let upstream = |number: u32| SimulatedUpstream {
            slots: match scenario.fault == Fault::Sheds && number == 0 {
                true => fleet.slots.div_ceil(2),
                false => fleet.slots,
            },
            running: 0,
            backlog: VecDeque::new(),
            slowdown: match scenario.fault == Fault::Slow && number == 0 {
                true => SLOW_FACTOR,
                false => 1.0,
            },
            is_cold: number < scenario.cold(),
            answers: 0,
        };
        let mut simulation = Self {
            now_us: 0,
            requests: requests.to_vec(),
            upstreams: (0..fleet.upstreams).map(upstream).collect(),
            outcome: Outcome::default(),
            end_us: scenario.seconds * 1_000_000,
            flushed: scenario.flushed() as usize,
            has_frozen_upstream: scenario.fault == Fault::Frozen,
            events: BinaryHeap::new(),
            next_event: 0,
        };
        simulation.schedule(0, Event::Report);
        simulation.schedule(0, Event::LoadExchange);
        simulation.schedule(1_000_000, Event::Fault);
        simulation.schedule_arrival(0);
        simulation
    }

    /// Advances the time to the next event and returns it.
    pub fn next(&mut self) -> Option<Event> {
        let Reverse((at_us, _, event)) = self.events.pop()?;
        self.now_us = at_us;
        match event {
            Event::Arrival { request } => self.schedule_arrival(request + 1),
            Event::End {
                request,
                upstream,
                answered,
            } => self.end(request, upstream, answered),
            Event::Fault => {
                for upstream in &mut self.upstreams[..self.flushed] {
                    upstream.is_cold = true;
                    upstream.answers = 0;
                }
                if self.has_frozen_upstream {
                    self.upstreams[0].slowdown = f64::from(u32::MAX);
                    self.delay_running(0);
                }
            }
            Event::LoadExchange if at_us < self.end_us => {
                self.schedule(at_us + LOAD_EXCHANGE_INTERVAL_US, Event::LoadExchange);
            }
            Event::Report if at_us < self.end_us => {
                self.schedule(at_us + 1_000_000, Event::Report);
            }
            _ => {}
        }
        Some(event)
    }

    /// Adds an event.
    pub fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        let at_us = at_us.max(self.now_us);
        self.events.push(Reverse((at_us, self.next_event, event)));
    }

    /// Returns the deadline of a request.
    pub fn deadline_us(&self, request: usize) -> u64 {
        self.requests[request].at_us + DEADLINE_US
    }

    /// Starts a request on an upstream. Returns false when the upstream sheds it.
    pub fn start(&mut self, request: usize, upstream: usize) -> bool {
        let entry = &mut self.upstreams[upstream];
        if entry.running >= entry.slots {
            self.outcome.sheds += 1;
            return false;
        }
        let service_us = (self.requests[request].service_us as f64 * entry.factor()) as u64;
        entry.running += 1;
        let end_us = self.now_us + service_us;
        let deadline_us = self.deadline_us(request);
        let answered = end_us <= deadline_us;
        self.schedule(
            end_us.min(deadline_us),
            Event::End {
                request,
                upstream,
                answered,
            },
        );
        true
    }

    /// Counts a refusal. `knows_free_slot` tells whether the policy knew of a free slot.
    pub fn refuse(&mut self, knows_free_slot: bool) {
        let is_free = |upstream: &SimulatedUpstream| upstream.running < upstream.slots;
        let has_free_slot = self.upstreams.iter().any(is_free);
        self.outcome.refused += 1;
        self.outcome.refused_with_known_free_slot += u64::from(knows_free_slot);
        self.outcome.refused_with_unknown_free_slot += u64::from(has_free_slot && !knows_free_slot);
    }

    /// Counts a request whose deadline passed before it started.
    pub fn expire(&mut self) {
        self.outcome.late += 1;
    }

    /// Delays the end of all requests on an upstream to their deadlines.
    fn delay_running(&mut self, frozen: usize) {
        let events = std::mem::take(&mut self.events);
        for Reverse((at_us, number, event)) in events {
            match event {
                Event::End {
                    request, upstream, ..
                } if upstream == frozen => {
                    let end = Event::End {
                        request,
                        upstream,
                        answered: false,
                    };
                    self.events
                        .push(Reverse((self.deadline_us(request), number, end)));
                }
                _ => self.events.push(Reverse((at_us, number, event))),
            }
        }
    }

    fn end(&mut self, request: usize, upstream: usize, answered: bool) {
        let entry = &mut self.upstreams[upstream];
        entry.running -= 1;
        if !answered {
            self.outcome.late += 1;
            return;
        }
        entry.answers += 1;
        let Request { at_us, service_us } = self.requests[request];
        self.outcome.latencies_us.push(self.now_us - at_us);
        if self.now_us <= self.end_us {
            self.outcome.useful_us += service_us;
        }
    }

    fn schedule_arrival(&mut self, request: usize) {
        if let Some(next) = self.requests.get(request) {
            let at_us = next.at_us;
            self.schedule(at_us, Event::Arrival { request });
        }
    }
}

impl Outcome {
    /// Adds the results of another run.
    pub fn add(&mut self, other: Self) {
        self.latencies_us.extend(other.latencies_us);
        self.useful_us += other.useful_us;
        self.refused += other.refused;
        self.refused_with_known_free_slot += other.refused_with_known_free_slot;
        self.refused_with_unknown_free_slot += other.refused_with_unknown_free_slot;
        self.late += other.late;
        self.sheds += other.sheds;
    }

    /// Returns a percentile of the latency. Requests without an answer count with the full
    /// deadline.
    pub fn percentile_us(&self, percent: f64) -> u64 {
        let mut all = self.latencies_us.clone();
        all.resize(all.len() + (self.refused + self.late) as usize, DEADLINE_US);
        all.sort_unstable();
        let rank = (all.len() as f64 * percent / 100.0).ceil() as usize;
        all[rank.clamp(1, all.len()) - 1]
    }

    /// Returns the useful work as a fraction of the capacity.
    pub fn goodput(&self, scenario: &Scenario) -> f64 {
        self.useful_us as f64 / (scenario.capacity() * scenario.seconds as f64 * 1e6)
    }
}
