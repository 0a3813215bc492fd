use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;

use laburnumdeal_model::Version;
use laburnumdeal_policy::Outcome;
use serde::{Deserialize, Serialize};

/// Requests whose decisions are kept for `explain`.
const KEPT_REQUESTS: usize = 4_096;

/// Decisions about one request, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trace {
    /// Identity of the request.
    pub request_id: String,
    /// Service that it was for.
    pub service: String,
    /// Version of the configuration it was decided under.
    pub version: Version,
    /// Each step with its reason.
    pub steps: Vec<TraceStep>,
    /// Final outcome.
    pub outcome: String,
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceStep {
    /// Time since the request arrived, in milliseconds.
    pub at_ms: u64,
    /// Availability zone, instance or upstream that was considered.
    pub candidate: String,
    /// What became of it.
    pub reason: String,
}

/// The last decisions of this instance.
#[derive(Debug, Default)]
pub struct TraceLog {
    kept: Mutex<Kept>,
}

#[derive(Debug, Default)]
struct Kept {
    order: VecDeque<String>,
    traces: HashMap<String, Trace>,
}

impl TraceLog {
    /// Keeps a trace; the oldest is dropped when there are many.
    pub fn keep(&self, trace: Trace) {
        let mut kept = self.kept.lock().expect("no panic while locked");
        if kept.order.len() >= KEPT_REQUESTS
            && let Some(oldest) = kept.order.pop_front()
        {
            kept.traces.remove(&oldest);
        }
        if kept
            .traces
            .insert(trace.request_id.clone(), trace.clone())
            .is_none()
        {
            kept.order.push_back(trace.request_id);
        }
    }

    /// Returns the trace of a request, if it is still kept.
    pub fn find(&self, request_id: &str) -> Option<Trace> {
        let kept = self.kept.lock().expect("no panic while locked");
        kept.traces.get(request_id).cloned()
    }
}

/// Collects the decisions about one request as they are made.
#[derive(Debug)]
pub struct TraceBuilder {
    trace: Mutex<Trace>,
    started_at: tokio::time::Instant,
}

impl TraceBuilder {
    /// Starts a trace now.
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

    /// Adds a decision.
    pub fn step(&self, candidate: impl Into<String>, reason: impl Into<String>) {
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
