//! Checks a kept connection by the status of its upstream, before a request that must not be repeated
//! is sent on it: what is sent on a connection that the other side has forgotten has an unknown
//! outcome.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use laburnumdeal_policy::steer::UpstreamKey;
use slog::info;
use tokio::time::Instant;

use crate::connection::Connection;
use crate::connection_pool::ConnectionPool;
use crate::exchange_error::ExchangeError;
use crate::header;
use crate::request_body::RequestBody;
use crate::roles::HeaderCodec;
use crate::roles::answer_notices;
use crate::roles::entry_state::EntryState;
use crate::roles::upstream_attempt::AttemptRequest;

/// Time for the answer of an upstream of the own region.
const NEAR_TIMEOUT: Duration = Duration::from_millis(40);

/// Time for the answer of an upstream of another region.
const FAR_TIMEOUT: Duration = Duration::from_millis(120);

/// Longest body of a status answer.
const MAX_BODY_BYTES: usize = 4 * 1024;

/// What a check found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CheckResult {
    /// The connection leads to the expected upstream, which takes requests.
    Passed,
    /// There was no whole answer in time.
    Late,
    /// The connection broke, or what it carried is no answer to a check.
    Broken,
    /// The upstream says that it takes no requests.
    Refused,
    /// Another upstream answered.
    OtherUpstream,
}

impl CheckResult {
    fn text(self) -> &'static str {
        match self {
            Self::Passed => "passed",
            Self::Late => "late",
            Self::Broken => "broken",
            Self::Refused => "refused",
            Self::OtherUpstream => "other upstream",
        }
    }
}

/// Takes an idle connection and checks it, if connections to the upstream are checked. Returns it if
/// it passed, or what the check found; `None` without a check. A connection that did not pass is
/// closed, so that an answer that comes later cannot be taken for another one.
pub(super) async fn take_checked<H: HeaderCodec>(
    state: &Arc<EntryState>,
    upstream: UpstreamKey,
    pool: &ConnectionPool,
    request: &AttemptRequest,
) -> Option<Result<Connection, CheckResult>> {
    let check = StatusCheck::prepare(state, upstream, request)?;
    let longest_idle = state.idle_reuse().longest_idle(Instant::now());
    let mut connection = pool.take_active_within(longest_idle)?;
    if connection.has_refused(&request.id) {
        return None;
    }
    let idle = connection.idle_for();
    let result = check.run::<H>(&mut connection, pool).await;
    state.metrics.count_connection_check(result.text());
    let now = Instant::now();
    match result {
        CheckResult::Passed => return Some(Ok(connection)),
        CheckResult::Broken => state.idle_reuse().record_broken(idle, now),
        CheckResult::Late => check.record_late(now),
        CheckResult::Refused | CheckResult::OtherUpstream => {}
    }
    Some(Err(result))
}

/// Check of the status of one upstream.
struct StatusCheck<'a> {
    state: &'a EntryState,
    upstream: UpstreamKey,
    request: &'a AttemptRequest,
    service: String,
    path: Uri,
    timeout: Duration,
}

impl<'a> StatusCheck<'a> {
    /// Returns the check, or `None` if connections to the upstream are not checked.
    fn prepare(
        state: &'a EntryState,
        upstream: UpstreamKey,
        request: &'a AttemptRequest,
    ) -> Option<Self> {
        let now = Instant::now();
        let load_balancer = state.load_balancer();
        let (takes_checks, names_pace) = (
            load_balancer.takes_checks(upstream, now),
            load_balancer.names_pace(upstream),
        );
        let service = load_balancer.service(upstream).to_owned();
        let is_near = load_balancer.region(upstream) == state.settings.region;
        drop(load_balancer);
        let is_on = state.connection_checks().is_on(&service, names_pace, now);
        if !takes_checks || !is_on {
            return None;
        }
        let configuration = state.active().configuration?;
        let path = &configuration.items.service(&service)?.health_path;
        let timeout = if is_near { NEAR_TIMEOUT } else { FAR_TIMEOUT };
        Some(Self {
            state,
            upstream,
            request,
            path: path.parse().ok()?,
            service,
            timeout: state.link.patience(timeout),
        })
    }

    async fn run<H: HeaderCodec>(
        &self,
        connection: &mut Connection,
        pool: &ConnectionPool,
    ) -> CheckResult {
        let mut message = Request::new(RequestBody::whole(Bytes::new()));
        *message.method_mut() = Method::GET;
        *message.uri_mut() = self.path.clone();
        let host = header::value(&pool.address().to_string());
        message.headers_mut().insert(http::header::HOST, host);
        let until = self.request.deadline.min(Instant::now() + self.timeout);
        match connection.send(message, until).await {
            Ok(response) => self.on_answer::<H>(response, until).await,
            Err(failure) => match failure.error {
                ExchangeError::TimedOut => CheckResult::Late,
                _ => CheckResult::Broken,
            },
        }
    }

    async fn on_answer<H: HeaderCodec>(
        &self,
        response: Response<Incoming>,
        until: Instant,
    ) -> CheckResult {
        let (status, headers) = (response.status(), response.headers());
        let id = {
            let load_balancer = self.state.load_balancer();
            load_balancer.endpoint(self.upstream).0.to_owned()
        };
        let result = judge::<H>(status, headers, &id);
        if matches!(result, CheckResult::Passed | CheckResult::Refused) {
            let id = &self.request.id;
            answer_notices::record_status::<H>(self.state, self.upstream, id, status, headers);
        }
        if result != CheckResult::Passed {
            return result;
        }
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
        match tokio::time::timeout_at(until, body.collect()).await {
            Ok(Ok(_)) => CheckResult::Passed,
            Ok(Err(_)) => CheckResult::Broken,
            Err(_) => CheckResult::Late,
        }
    }

    fn record_late(&self, now: Instant) {
        let mut checks = self.state.connection_checks();
        let is_off = checks.record_late(&self.service, now);
        drop(checks);
        if is_off && let Some(log) = self.state.log.limited(true) {
            info!(log, "connections are not checked for a while"; "service" => &self.service);
        }
    }
}

/// Returns what the head of an answer to a check says, if the upstream `expected` should give it.
fn judge<H: HeaderCodec>(status: StatusCode, headers: &HeaderMap, expected: &str) -> CheckResult {
    // A check has no ID, so an answer with one is a copy of the answer to a request.
    let request_id = headers.get(H::REQUEST_ID);
    if request_id.is_some_and(|id| !id.is_empty()) {
        return CheckResult::Broken;
    }
    let is_expected = header::text(headers, &H::UPSTREAM_ID).map(|id| id == expected);
    match (is_expected, status) {
        (Some(false), _) => CheckResult::OtherUpstream,
        (Some(true), StatusCode::OK) => CheckResult::Passed,
        (Some(true), StatusCode::SERVICE_UNAVAILABLE) => CheckResult::Refused,
        _ => CheckResult::Broken,
    }
}
