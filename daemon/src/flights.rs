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
    is_down: Mutex<Vec<bool>>,
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
            is_down: Mutex::new(vec![false; upstreams]),
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

    /// Notes that an upstream answers again.
    pub fn recovered(&self, upstream: UpstreamId) {
        self.set_down(upstream, false);
    }

    /// Marks what was in flight at a crash. An upstream that has not answered since its last crash
    /// is still down, so only a request that is suspect already can have crashed it again.
    fn crashed(&self, upstream: UpstreamId, fingerprint: u64) {
        let was_down = self.set_down(upstream, true);
        if was_down && self.check(fingerprint) == PoisonCheck::Clear {
            return;
        }
        let in_flight = match was_down {
            true => vec![fingerprint],
            false => self.running(upstream, |list| list.clone()),
        };
        self.poison().on_crash(&in_flight, upstream, self.now_ms());
    }

    fn set_down(&self, upstream: UpstreamId, is_down: bool) -> bool {
        let mut flags = self.shared.is_down.lock().expect("no panic while locked");
        std::mem::replace(&mut flags[upstream.index()], is_down)
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
        self.flights.recovered(self.upstream);
        self.flights
            .poison()
            .on_complete(self.fingerprint, self.flights.now_ms());
    }

    /// Notes that the upstream crashed while it ran the request.
    pub fn crashed(self) {
        self.flights.crashed(self.upstream, self.fingerprint);
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
