use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

use laburnumdeal_model::Version;
use laburnumdeal_policy::Outcome;
use serde::{Deserialize, Serialize};

/// Maximum number of requests whose traces are kept for `explain`.
const MAX_TRACES: usize = 4_096;

/// Routing decisions about one request, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trace {
    /// Id of the request.
    pub request_id: String,
    /// Service that the request was for.
    pub service: String,
    /// Configuration version under which the decisions were made.
    pub version: Version,
    /// Decisions with their reasons.
    pub steps: Vec<TraceStep>,
    /// Final outcome.
    pub outcome: String,
}

/// One decision about a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceStep {
    /// Time since the request arrived, in milliseconds.
    pub at_ms: u64,
    /// Availability zone, instance or upstream that was considered; "claim", "request" or "path"
    /// when the decision is not about one of them.
    pub candidate: String,
    /// Why it was chosen or passed over, or how the attempt ended.
    pub reason: String,
}

/// Traces of the most recent requests of this instance.
#[derive(Debug, Default)]
pub struct TraceLog {
    stored: Mutex<StoredTraces>,
}

#[derive(Debug, Default)]
struct StoredTraces {
    order: VecDeque<String>,
    traces: HashMap<String, Trace>,
}

impl TraceLog {
    /// Stores a trace; the oldest one is dropped when the log is full.
    pub fn insert(&self, trace: Trace) {
        let mut stored = self.stored.lock().expect("no panic while locked");
        if stored.order.len() >= MAX_TRACES
            && let Some(oldest) = stored.order.pop_front()
        {
            stored.traces.remove(&oldest);
        }
        if stored
            .traces
            .insert(trace.request_id.clone(), trace.clone())
            .is_none()
        {
            stored.order.push_back(trace.request_id);
        }
    }

    /// Returns the trace of a request if it is still stored.
    pub fn find(&self, request_id: &str) -> Option<Trace> {
        let stored = self.stored.lock().expect("no panic while locked");
        stored.traces.get(request_id).cloned()
    }
}

/// Records the decisions about one request as they are made.
#[derive(Debug)]
pub struct TraceRecorder {
    trace: Mutex<Trace>,
    started_at: tokio::time::Instant,
}

impl TraceRecorder {
    /// Starts a trace at the current time.
    pub fn new(request_id: &str, service: &str, version: Version) -> Self {
        let trace = Trace {
            request_id: request_id.to_owned(),
            service: service.to_owned(),
            version,
            steps: Vec::new(),
            outcome: String::new(),
        };
        Self {
            trace: Mutex::new(trace),
            started_at: tokio::time::Instant::now(),
        }
    }

    /// Records a decision.
    pub fn record(&self, candidate: impl Into<String>, reason: impl Into<String>) {
        let at_ms = self.started_at.elapsed().as_millis() as u64;
        let step = TraceStep {
            at_ms,
            candidate: candidate.into(),
            reason: reason.into(),
        };
        self.trace
            .lock()
            .expect("no panic while locked")
            .steps
            .push(step);
    }

    /// Ends the trace with the final outcome.
    pub fn finish(&self, outcome: Outcome) -> Trace {
        let mut trace = self.trace.lock().expect("no panic while locked");
        trace.outcome = outcome.to_string();
        trace.clone()
    }
}
