use std::sync::{Arc, Mutex};

use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::{PoisonCheck, PoisonMark, PoisonSettings, PoisonTable};
use tokio::time::Instant;

/// Requests in flight by upstream, and those that were in flight at a crash. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Flights {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    started_at: Instant,
    poison: Mutex<PoisonTable>,
    running: Mutex<Vec<Vec<u64>>>,
}

/// One request in flight on an upstream; it is over when this is dropped.
#[derive(Debug)]
pub struct Flight {
    flights: Flights,
    upstream: UpstreamId,
    fingerprint: u64,
}

impl Flights {
    /// Returns a register for this many upstreams, with nothing in flight.
    pub fn new(upstreams: usize) -> Self {
        let shared = Shared {
            started_at: Instant::now(),
            poison: Mutex::new(PoisonTable::new(PoisonSettings::default())),
            running: Mutex::new(vec![Vec::new(); upstreams]),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Registers a request on an upstream.
    pub fn start(&self, upstream: UpstreamId, fingerprint: u64) -> Flight {
        self.running(upstream, |list| list.push(fingerprint));
        Flight {
            flights: self.clone(),
            upstream,
            fingerprint,
        }
    }

    /// Returns what may be done with a request.
    pub fn check(&self, fingerprint: u64) -> PoisonCheck {
        self.poison().check(fingerprint, self.now_ms())
    }

    /// Returns whether a suspect may run on an upstream now, and notes it as running there.
    pub fn start_suspect(&self, fingerprint: u64, upstream: UpstreamId) -> bool {
        self.poison().start_suspect(fingerprint, upstream)
    }

    /// Returns the marks of the last `within_ms`, for other instances.
    pub fn marks(&self, within_ms: u64) -> Vec<PoisonMark> {
        let now_ms = self.now_ms();
        self.poison()
            .marks_since(now_ms.saturating_sub(within_ms), now_ms)
    }

    /// Takes marks from another instance.
    pub fn merge(&self, told: &[PoisonMark]) {
        if !told.is_empty() {
            self.poison().merge(told, self.now_ms());
        }
    }

    fn crashed(&self, upstream: UpstreamId) {
        let in_flight = self.running(upstream, |list| list.clone());
        self.poison().on_crash(&in_flight, upstream, self.now_ms());
    }

    fn running<T>(&self, upstream: UpstreamId, act: impl FnOnce(&mut Vec<u64>) -> T) -> T {
        let mut running = self.shared.running.lock().expect("no panic while locked");
        act(&mut running[upstream.index()])
    }

    fn poison(&self) -> std::sync::MutexGuard<'_, PoisonTable> {
        self.shared.poison.lock().expect("no panic while locked")
    }

    fn now_ms(&self) -> u64 {
        self.shared.started_at.elapsed().as_millis() as u64
    }
}

impl Flight {
    /// Notes that the request ran to its end.
    pub fn completed(self) {
        self.flights
            .poison()
            .on_complete(self.fingerprint, self.flights.now_ms());
    }

    /// Notes that the upstream crashed while it ran the request.
    pub fn crashed(self) {
        self.flights.crashed(self.upstream);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let fingerprint = self.fingerprint;
        self.flights.running(self.upstream, |list| {
            if let Some(position) = list.iter().position(|other| *other == fingerprint) {
                list.swap_remove(position);
            }
        });
        self.flights.poison().stop_suspect(fingerprint);
    }
}
