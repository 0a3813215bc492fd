use std::sync::{Arc, Mutex};

use laburnumdeal_model::UpstreamId;
use laburnumdeal_policy::{PoisonCheck, PoisonMark, PoisonSettings, PoisonTable};
use tokio::time::Instant;

/// In-flight requests by upstream, and marks of those that were in flight at a crash. Cheap to
/// clone.
#[derive(Clone, Debug)]
pub struct InFlightRequests {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    started_at: Instant,
    poison: Mutex<PoisonTable>,
    running: Mutex<Vec<Vec<u64>>>,
    is_down: Mutex<Vec<bool>>,
}

/// Guard of one in-flight request on an upstream; dropping it removes the request.
#[derive(Debug)]
pub struct InFlightRequest {
    in_flight_requests: InFlightRequests,
    upstream: UpstreamId,
    fingerprint: u64,
}

impl InFlightRequests {
    /// Creates an empty register for this many upstreams.
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
    pub fn start(&self, upstream: UpstreamId, fingerprint: u64) -> InFlightRequest {
        self.with_running(upstream, |list| list.push(fingerprint));
        InFlightRequest {
            in_flight_requests: self.clone(),
            upstream,
            fingerprint,
        }
    }

    /// Returns whether a request may run, may run only alone, or is refused.
    pub fn check(&self, fingerprint: u64) -> PoisonCheck {
        self.poison().check(fingerprint, self.now_ms())
    }

    /// Returns whether a suspected request may run on an upstream now, and if so records it as
    /// running there.
    pub fn start_suspect(&self, fingerprint: u64, upstream: UpstreamId) -> bool {
        self.poison().try_start_suspect(fingerprint, upstream)
    }

    /// Returns the newest `limit` crash marks that changed at or after a time, to be sent to other
    /// instances.
    pub fn marks_since(&self, since_ms: u64, limit: usize) -> Vec<PoisonMark> {
        let mut marks = self.poison().marks_since(since_ms, self.now_ms());
        marks.drain(..marks.len().saturating_sub(limit));
        marks
    }

    /// Merges the crash marks of another instance.
    pub fn merge(&self, marks: &[PoisonMark]) {
        if !marks.is_empty() {
            self.poison().merge(marks, self.now_ms());
        }
    }

    /// Records that an upstream answers again.
    pub fn mark_recovered(&self, upstream: UpstreamId) {
        self.set_down(upstream, false);
    }

    /// Marks the requests that were in flight at a crash. An upstream that has not answered since
    /// its last crash is still down, so only a request that is already suspected can have crashed
    /// it again.
    fn mark_crashed(&self, upstream: UpstreamId, fingerprint: u64) {
        let was_down = self.set_down(upstream, true);
        if was_down && self.check(fingerprint) == PoisonCheck::Clear {
            return;
        }
        let in_flight = match was_down {
            true => vec![fingerprint],
            false => self.with_running(upstream, |list| list.clone()),
        };
        self.poison().on_crash(&in_flight, upstream, self.now_ms());
    }

    fn set_down(&self, upstream: UpstreamId, is_down: bool) -> bool {
        let mut flags = self.shared.is_down.lock().expect("no panic while locked");
        std::mem::replace(&mut flags[upstream.index()], is_down)
    }

    fn with_running<T>(&self, upstream: UpstreamId, update: impl FnOnce(&mut Vec<u64>) -> T) -> T {
        let mut running = self.shared.running.lock().expect("no panic while locked");
        update(&mut running[upstream.index()])
    }

    fn poison(&self) -> std::sync::MutexGuard<'_, PoisonTable> {
        self.shared.poison.lock().expect("no panic while locked")
    }

    /// Returns the time since the register was created, which marks are ordered by.
    pub fn now_ms(&self) -> u64 {
        self.shared.started_at.elapsed().as_millis() as u64
    }
}

impl InFlightRequest {
    /// Records that the request completed.
    pub fn complete(self) {
        self.in_flight_requests.mark_recovered(self.upstream);
        self.in_flight_requests
            .poison()
            .on_complete(self.fingerprint, self.in_flight_requests.now_ms());
    }

    /// Records that the upstream crashed while it ran the request.
    pub fn mark_crashed(self) {
        self.in_flight_requests
            .mark_crashed(self.upstream, self.fingerprint);
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let fingerprint = self.fingerprint;
        self.in_flight_requests.with_running(self.upstream, |list| {
            if let Some(position) = list.iter().position(|other| *other == fingerprint) {
                list.swap_remove(position);
            }
        });
        self.in_flight_requests.poison().stop_suspect(fingerprint);
    }
}
