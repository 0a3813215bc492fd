//! What upstreams say of themselves in the heads of their answers: their load, a limit on their
//! requests, a time for which they want none, and that they leave. It is recorded for the load
//! balancer, and changes are logged.

use std::time::Duration;

use http::{HeaderMap, HeaderValue, StatusCode};
use laburnumdeal_policy::steer::{LeavingNotice, LimitNotice, UpstreamKey, WaitNotice};
use slog::{info, warn};
use tokio::time::Instant;

use crate::roles::HeaderCodec;
use crate::roles::entry_state::EntryState;

/// Shortest time by which a wait must end later than known for a log line. Answers that name the
/// rest of one wait differ by the time that they take to arrive.
const LOGGED_CHANGE: Duration = Duration::from_millis(200);

/// Records what the head of an answer to the request `id` says of its upstream.
pub(super) fn record<H: HeaderCodec>(
    state: &EntryState,
    upstream: UpstreamKey,
    id: &HeaderValue,
    status: StatusCode,
    headers: &HeaderMap,
) {
    record_limit(state, upstream, id, H::limit(headers));
    record_status::<H>(state, upstream, id, status, headers);
}

/// Records what the head of the answer to a status check says of its upstream. A check is made for
/// the request `id`. A limit is left out: one that a check does not name may go on.
pub(super) fn record_status<H: HeaderCodec>(
    state: &EntryState,
    upstream: UpstreamKey,
    id: &HeaderValue,
    status: StatusCode,
    headers: &HeaderMap,
) {
    if let Some(load) = H::load(headers) {
        let mut load_balancer = state.load_balancer();
        load_balancer.record_load(upstream, load, Instant::now());
    }
    record_wait(state, upstream, id, H::wait(status, headers));
    record_leaving(state, upstream, id, H::leaving(headers));
}

/// Logs a request that is sent although its upstream wants none, and counts it.
pub(super) fn check_wait(state: &EntryState, upstream: UpstreamKey, id: &HeaderValue) {
    let load_balancer = state.load_balancer();
    let left = load_balancer.wait_left(upstream, Instant::now());
    if left.is_zero() {
        return;
    }
    let name = load_balancer.endpoint(upstream).0.to_owned();
    drop(load_balancer);
    state.metrics.count_sent_in_wait();
    if let Some(log) = state.log.limited(true) {
        warn!(log, "request sent to an upstream that asked to wait"; "upstream" => name,
            "id" => text(id), "left_ms" => left.as_millis() as u64);
    }
}

/// Records the limit that an answer names, and logs one that started, changed or ended.
fn record_limit(state: &EntryState, key: UpstreamKey, id: &HeaderValue, notice: LimitNotice) {
    let mut load_balancer = state.load_balancer();
    let before = load_balancer.limit_per_s(key);
    let has_changed = load_balancer.record_limit(key, notice, Instant::now());
    if !has_changed && notice != LimitNotice::Unreadable {
        return;
    }
    let upstream = load_balancer.endpoint(key).0.to_owned();
    let limited = load_balancer.limited_upstreams();
    drop(load_balancer);
    state.metrics.set_limited_upstreams(limited);
    let Some(log) = state.log.limited(true) else {
        return;
    };
    let per_s_text =
        |per_s: Option<f64>| per_s.map_or_else(|| "none".to_owned(), |p| p.to_string());
    match notice {
        LimitNotice::Unreadable => warn!(log, "unreadable limit of an upstream";
            "upstream" => upstream, "id" => text(id), "kept_per_s" => per_s_text(before)),
        LimitNotice::Unlimited => info!(log, "limit of an upstream ended";
            "upstream" => upstream, "id" => text(id), "before_per_s" => per_s_text(before)),
        LimitNotice::PerSecond(per_s) => info!(log, "limit of an upstream";
            "upstream" => upstream, "id" => text(id), "per_s" => per_s,
            "before_per_s" => per_s_text(before)),
    }
}

/// Records the time for which an upstream wants no requests, and logs one that ends later than
/// known before.
fn record_wait(state: &EntryState, key: UpstreamKey, id: &HeaderValue, notice: WaitNotice) {
    if notice == WaitNotice::Absent {
        return;
    }
    let now = Instant::now();
    let mut load_balancer = state.load_balancer();
    let before = load_balancer.wait_left(key, now);
    load_balancer.record_wait(key, notice, now);
    let left = load_balancer.wait_left(key, now);
    let upstream = load_balancer.endpoint(key).0.to_owned();
    drop(load_balancer);
    state.metrics.count_wait(match notice {
        WaitNotice::Unreadable => "unreadable",
        WaitNotice::For(_) | WaitNotice::Absent => "read",
    });
    if left < before + LOGGED_CHANGE && notice != WaitNotice::Unreadable {
        return;
    }
    let Some(log) = state.log.limited(true) else {
        return;
    };
    let (before_ms, left_ms) = (before.as_millis() as u64, left.as_millis() as u64);
    match notice {
        WaitNotice::Unreadable => warn!(log, "unreadable wait of an upstream";
            "upstream" => upstream, "id" => text(id), "left_ms" => left_ms),
        WaitNotice::For(_) | WaitNotice::Absent => info!(log, "upstream asked to wait";
            "upstream" => upstream, "id" => text(id), "left_ms" => left_ms,
            "before_ms" => before_ms),
    }
}

/// Records that an upstream leaves, and logs the first answer that announces it.
fn record_leaving(state: &EntryState, key: UpstreamKey, id: &HeaderValue, notice: LeavingNotice) {
    if notice == LeavingNotice::Absent {
        return;
    }
    let mut load_balancer = state.load_balancer();
    let is_leaving = notice == LeavingNotice::Leaving;
    if is_leaving && !load_balancer.record_leaving(key) {
        return;
    }
    let upstream = load_balancer.endpoint(key).0.to_owned();
    drop(load_balancer);
    if is_leaving {
        state.metrics.count_announced_leaving();
    }
    let Some(log) = state.log.limited(true) else {
        return;
    };
    match is_leaving {
        true => info!(log, "upstream announced that it leaves"; "upstream" => upstream,
            "id" => text(id)),
        false => warn!(log, "unreadable announcement of an upstream"; "upstream" => upstream,
            "id" => text(id)),
    }
}

fn text(id: &HeaderValue) -> String {
    String::from_utf8_lossy(id.as_bytes()).into_owned()
}
