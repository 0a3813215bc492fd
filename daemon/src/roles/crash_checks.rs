//! Checks whether an upstream crashed, while attempts at it wait long for an answer or after they
//! ended without one. A check runs in a task of its own, so that it does not end with the request of
//! a caller that leaves.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use http::HeaderValue;
use laburnumdeal_policy::steer::{
    CrashEvidence, CrashVerdict, ProbeConnection, RequestFingerprints, UnansweredAttempts,
    UpstreamKey,
};
use slog::info;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::roles::entry_state::EntryState;
use crate::roles::fingerprints_text::fingerprints_text;
use crate::roles::{reach_probes, second_opinion};

/// Timeout of the connection that checks an upstream. An upstream that ended with its machine does
/// not refuse connections, it does not reply.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time in which an upstream that is only slow may answer another request, which saves the
/// connection.
const ANSWER_WAIT: Duration = Duration::from_millis(200);

/// Time after a check that found no crash in which attempts that are still waiting cause no other.
const MIN_INTERVAL: Duration = Duration::from_millis(1_000);

/// Limit on the attempts that one check is for.
const MAX_ATTEMPTS: usize = 256;

/// Running checks, by upstream.
#[derive(Debug, Default)]
pub(super) struct CrashChecks {
    running: Mutex<HashMap<UpstreamKey, RunningCheck>>,
    /// Times of the last checks that found no crash.
    passed: Mutex<HashMap<UpstreamKey, Instant>>,
    /// Attempts at upstreams whose address accepts connections.
    undecided: Mutex<UnansweredAttempts>,
}

#[derive(Debug)]
struct RunningCheck {
    attempts: Vec<UnansweredAttempt>,
    /// Whether the connection of an attempt broke, so that the check need not wait for answers.
    is_urgent: watch::Sender<bool>,
}

/// Attempt that has no whole answer.
#[derive(Clone, Debug)]
pub(super) struct UnansweredAttempt {
    /// ID of the request.
    pub id: HeaderValue,
    /// Hashes that repeats of the request share.
    pub fingerprints: RequestFingerprints,
    /// Whether the connection broke, rather than that the time was out.
    pub is_broken: bool,
    /// Time at which it was known to have no answer.
    pub at: Instant,
}

/// Checks an upstream for a crash, unless a check of it is running, which then covers the attempt.
pub(super) fn start(state: &Arc<EntryState>, upstream: UpstreamKey, attempt: UnansweredAttempt) {
    let Ok(runtime) = Handle::try_current() else {
        return;
    };
    let is_urgent = attempt.is_broken;
    let mut running = state.crash_checks.running();
    if let Some(check) = running.get_mut(&upstream) {
        if check.attempts.len() < MAX_ATTEMPTS {
            check.attempts.push(attempt);
        }
        check.is_urgent.send_if_modified(|urgent| {
            let is_new = is_urgent && !*urgent;
            *urgent |= is_urgent;
            is_new
        });
        return;
    }
    let is_urgent = watch::Sender::new(is_urgent);
    let urgency = is_urgent.subscribe();
    let check = RunningCheck {
        attempts: vec![attempt],
        is_urgent,
    };
    running.insert(upstream, check);
    runtime.spawn(run(state.clone(), upstream, urgency));
}

/// Checks an upstream for a crash while an attempt is waiting for its answer, unless one was made a
/// short while ago.
pub(super) fn start_if_due(
    state: &Arc<EntryState>,
    upstream: UpstreamKey,
    attempt: UnansweredAttempt,
) {
    let passed_at = state.crash_checks.passed().get(&upstream).copied();
    if passed_at.is_none_or(|at| at.elapsed() >= MIN_INTERVAL) {
        start(state, upstream, attempt);
    }
}

/// Waits until no check of an upstream is running, or for `timeout`.
pub(super) async fn wait(state: &EntryState, upstream: UpstreamKey, timeout: Duration) {
    let urgency = match state.crash_checks.running().get(&upstream) {
        Some(check) => check.is_urgent.subscribe(),
        None => return,
    };
    // The sender is dropped after the check has reported its result.
    let ended = async {
        let mut urgency = urgency;
        while urgency.changed().await.is_ok() {}
    };
    let _ = tokio::time::timeout(timeout, ended).await;
}

impl CrashChecks {
    fn running(&self) -> MutexGuard<'_, HashMap<UpstreamKey, RunningCheck>> {
        self.running.lock().expect("no holder panics")
    }

    fn passed(&self) -> MutexGuard<'_, HashMap<UpstreamKey, Instant>> {
        self.passed.lock().expect("no holder panics")
    }

    fn undecided(&self) -> MutexGuard<'_, UnansweredAttempts> {
        self.undecided.lock().expect("no holder panics")
    }
}

async fn run(state: Arc<EntryState>, upstream: UpstreamKey, mut urgency: watch::Receiver<bool>) {
    let started_at = Instant::now();
    let until_urgent = async {
        let _ = urgency.wait_for(|is_urgent| *is_urgent).await;
    };
    let _ = tokio::time::timeout(ANSWER_WAIT, until_urgent).await;
    let is_urgent = *urgency.borrow();
    let (name, address, answered_at) = {
        let load_balancer = state.load_balancer();
        let (name, address) = load_balancer.endpoint(upstream);
        let answered_at = load_balancer.answered_at(upstream);
        (name.to_owned(), address, answered_at)
    };
    let verdict = match answered_at.is_some_and(|at| at > started_at) && !is_urgent {
        true => CrashVerdict::Answers,
        false => probe(&state, upstream, address).await.verdict(),
    };
    let Some(check) = state.crash_checks.running().remove(&upstream) else {
        return;
    };
    let attempts = &check.attempts;
    if verdict.is_unreachable() {
        reach_probes::record_failed(&state, upstream);
    }
    if verdict.is_crash() {
        let fingerprints = attempts
            .iter()
            .flat_map(|attempt| attempt.fingerprints.both());
        state.report_crash(&name, &fingerprints.collect::<Vec<_>>());
    } else {
        let mut passed = state.crash_checks.passed();
        passed.retain(|_, at| at.elapsed() < MIN_INTERVAL);
        passed.insert(upstream, Instant::now());
    }
    if verdict.is_undecided() {
        let mut undecided = state.crash_checks.undecided();
        for attempt in attempts {
            for fingerprint in attempt.fingerprints.both() {
                undecided.record(upstream, fingerprint, attempt.at);
            }
        }
    }
    state.metrics.count_crash_check(verdict.text());
    for attempt in attempts {
        let Some(log) = state.log.limited(true) else {
            return;
        };
        info!(log, "checked an upstream for a crash";
            "id" => String::from_utf8_lossy(attempt.id.as_bytes()).into_owned(),
            "fingerprint" => format!("{:016x}", attempt.fingerprints.by_caller), "upstream" => &name,
            "result" => verdict.text(), "took_ms" => started_at.elapsed().as_millis() as u64,
            "attempt_age_ms" => attempt.at.elapsed().as_millis() as u64,
            "reported" => verdict.is_crash());
    }
}

/// Connects to an upstream, and if that fails to its neighbors, while others connect to it.
async fn probe(state: &EntryState, upstream: UpstreamKey, address: SocketAddr) -> CrashEvidence {
    let connecting = state.dialer.connect(address);
    let connection =
        match tokio::time::timeout(state.link.patience(CONNECT_TIMEOUT), connecting).await {
            Ok(Ok(_)) => ProbeConnection::Accepted,
            Ok(Err(_)) => ProbeConnection::Refused,
            Err(_) => ProbeConnection::NoReply,
        };
    let mut evidence = CrashEvidence {
        connection,
        has_left_list: state.load_balancer().left_unannounced(upstream),
        reaches_neighbors: true,
        others_reach: None,
    };
    if connection != ProbeConnection::Accepted {
        (evidence.reaches_neighbors, evidence.others_reach) = tokio::join!(
            reach_probes::has_reachable_neighbor(state, upstream),
            second_opinion::can_others_connect(state, address),
        );
    }
    evidence
}

/// Forgets the attempts at upstreams that accepted connections when they were checked.
pub(super) fn forget_undecided(state: &EntryState) {
    *state.crash_checks.undecided() = UnansweredAttempts::default();
}

/// Reports the crashes of upstreams that accepted connections when they were checked, but have
/// since left the list unannounced.
pub(super) fn report_unannounced(state: &EntryState) {
    let upstreams: Vec<UpstreamKey> = state.crash_checks.undecided().upstreams().collect();
    for upstream in upstreams {
        if state.load_balancer().left_unannounced(upstream) {
            report_ended(state, upstream, "left the list");
        }
    }
}

/// Reports the crash of an upstream that is known to have ended, for the requests whose attempts
/// it left without an answer.
pub(super) fn report_ended(state: &EntryState, upstream: UpstreamKey, evidence: &'static str) {
    let (name, answered_at) = {
        let load_balancer = state.load_balancer();
        let name = load_balancer.endpoint(upstream).0.to_owned();
        (name, load_balancer.answered_at(upstream))
    };
    let mut undecided = state.crash_checks.undecided();
    let fingerprints = undecided.take_crashed(upstream, answered_at, Instant::now());
    drop(undecided);
    if fingerprints.is_empty() {
        return;
    }
    if let Some(log) = state.log.limited(true) {
        info!(log, "upstream crashed"; "upstream" => &name, "evidence" => evidence,
            "requests" => fingerprints.len(), "fingerprints" => fingerprints_text(&fingerprints));
    }
    state.report_crash(&name, &fingerprints);
}
