use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use laburnumdeal_policy::steer::{Route, hash_of};
use slog::info;
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::header;
use crate::http_server::Handle;
use crate::roles::HeaderCodec;
use crate::roles::buffered_body::{BufferedBody, BufferedBodyError};
use crate::roles::entry_state::EntryState;
use crate::roles::forwarding::{Forwarded, Forwarding, Progress};
use crate::roles::upstream_attempt::AttemptRequest;

/// Time that a caller waits when it does not say.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Time beyond the deadline in which an answer that is on its way is still passed on.
const LAST_ANSWER: Duration = Duration::from_millis(60);

/// Time to come back to an instance without a configuration.
const STARTING_PAUSE: Duration = Duration::from_millis(500);

/// Time to come back with a request that crashed upstreams.
const CRASHED_PAUSE: Duration = Duration::from_secs(5);

/// Answers requests of callers by forwarding them to upstreams.
pub(super) struct ForwardHandler<H> {
    state: Arc<EntryState>,
    codec: PhantomData<H>,
}

/// Request that an upstream may be chosen for.
struct Accepted<'a> {
    route: &'a Route,
    service: &'a str,
    peer: SocketAddr,
    began_at: Instant,
    max_body_bytes: u64,
}

impl<H: HeaderCodec> ForwardHandler<H> {
    pub fn new(state: Arc<EntryState>) -> Self {
        Self {
            state,
            codec: PhantomData,
        }
    }

    async fn answer(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<AnswerBody> {
        let began_at = Instant::now();
        let in_force = self.state.in_force();
        if in_force.configuration.is_none() {
            return refusal::<H>("no configuration yet", STARTING_PAUSE);
        }
        let host = host(&request);
        let Some(route) = in_force.routes.find(&host, request.uri().path()) else {
            self.log_rejected(&request, StatusCode::NOT_FOUND, "no route fits");
            return text(StatusCode::NOT_FOUND, "no route fits");
        };
        let service = route.pick_service(rand::random());
        let accepted = Accepted {
            route,
            service,
            peer,
            began_at,
            max_body_bytes: in_force.routes.limits().max_body_bytes,
        };
        self.forward(request, &accepted).await
    }

    async fn forward(
        &self,
        request: Request<Incoming>,
        accepted: &Accepted<'_>,
    ) -> Response<AnswerBody> {
        let (parts, incoming) = request.into_parts();
        let reading = BufferedBody::read(incoming, accepted.max_body_bytes);
        let body = match reading.await {
            Ok(body) => body,
            Err(BufferedBodyError::TooLong) => {
                return text(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
            }
            Err(BufferedBodyError::Broken) => {
                return text(StatusCode::BAD_REQUEST, "the body broke off");
            }
        };
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let caller = accepted.peer.ip().to_string();
        let method = parts.method.as_str().as_bytes();
        let content = [caller.as_bytes(), method, path.as_bytes(), body.beginning()];
        let fingerprint = hash_of(&content);
        if self.state.refuses(fingerprint) {
            return refusal::<H>("the request crashed upstreams before", CRASHED_PAUSE);
        }
        let attempt = attempt_request::<H>(&parts, accepted, path);
        let id = attempt.id.clone();
        let mut forwarding = Forwarding {
            state: &self.state,
            route: accepted.route,
            service: accepted.service,
            request: attempt,
            body,
            max_body_bytes: accepted.max_body_bytes,
            fingerprint,
            began_at: accepted.began_at,
            progress: Progress::default(),
        };
        let forwarded = forwarding.run::<H>().await;
        self.log(&id, accepted, &forwarding, &forwarded);
        respond::<H>(forwarded)
    }

    fn log(
        &self,
        id: &HeaderValue,
        accepted: &Accepted<'_>,
        forwarding: &Forwarding<'_>,
        forwarded: &Forwarded,
    ) {
        let took = accepted.began_at.elapsed();
        let (outcome, reason, status) = match forwarded {
            Forwarded::Answer(response) => ("answer", "", response.status().as_u16()),
            Forwarded::NotRun { reason, .. } => ("not-run", *reason, 503),
            Forwarded::Unknown { reason, .. } => ("unknown", *reason, 502),
        };
        self.state.metrics.request(accepted.service, outcome, took);
        let is_failure = outcome != "answer" || status >= 500;
        let Some(log) = self.state.events.line(is_failure) else {
            return;
        };
        let list_age = self.state.list().age(Instant::now()).unwrap_or_default();
        let last = forwarding.progress.last();
        let upstream = last.map_or_else(String::new, |decision| {
            self.state.book().endpoint(decision.upstream).0.to_owned()
        });
        info!(log, "request";
            "id" => String::from_utf8_lossy(id.as_bytes()).into_owned(),
            "route" => &accepted.route.name, "route_version" => accepted.route.version,
            "service" => accepted.service, "upstream" => upstream,
            "expected_ms" => last.map_or(0, |decision| decision.expected_ms as u64),
            "queue_ms" => last.map_or(0, |decision| decision.queue_ms as u64),
            "load" => last.map_or(0, |decision| decision.load as u64),
            "load_age_ms" => last
                .and_then(|decision| decision.load_age)
                .map_or(-1, |age| age.as_millis() as i64),
            "warm" => last.is_some_and(|decision| decision.expects_cache_hit),
            "arrivals" => forwarding.progress.arrivals(), "list_age_ms" => list_age.as_millis() as u64,
            "took_ms" => took.as_millis() as u64, "outcome" => outcome,
            "status" => status, "reason" => reason);
    }

    fn log_rejected(&self, request: &Request<Incoming>, status: StatusCode, reason: &str) {
        let Some(log) = self.state.events.line(true) else {
            return;
        };
        let id = header::text(request.headers(), &H::REQUEST_ID);
        info!(log, "request"; "id" => id.unwrap_or("none").to_owned(),
            "path" => request.uri().path().to_owned(), "outcome" => "rejected",
            "status" => status.as_u16(), "reason" => reason.to_owned());
    }
}

impl<H: HeaderCodec> Handle for ForwardHandler<H> {
    async fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<AnswerBody> {
        let id = request.headers().get(H::REQUEST_ID).cloned();
        let mut response = self.answer(request, peer).await;
        let headers = response.headers_mut();
        if let Some(id) = id {
            headers.insert(H::REQUEST_ID, id);
        }
        if self.state.is_leaving() {
            let close = HeaderValue::from_static("close");
            headers.insert(http::header::CONNECTION, close);
        }
        response
    }
}

fn attempt_request<H: HeaderCodec>(
    parts: &http::request::Parts,
    accepted: &Accepted<'_>,
    path: &str,
) -> AttemptRequest {
    let told_ms = header::text(&parts.headers, &H::DEADLINE_MS);
    let told_ms = told_ms.and_then(|text| text.trim().parse::<f64>().ok());
    let told = told_ms.filter(|ms| ms.is_finite() && *ms >= 0.0);
    let told = told.map_or(DEFAULT_DEADLINE, |ms| Duration::from_secs_f64(ms / 1_000.0));
    let timeout = Duration::from_millis(accepted.route.item.timeout_ms);
    let deadline = accepted.began_at + told.min(timeout);
    let object = match parts.headers.get(H::AFFINITY_KEY) {
        Some(object) => hash_of(&[object.as_bytes()]),
        None => hash_of(&[path.as_bytes()]),
    };
    let mut headers = header::end_to_end(&parts.headers);
    headers.remove(http::header::EXPECT);
    AttemptRequest {
        method: parts.method.clone(),
        uri: path.parse::<Uri>().unwrap_or_else(|_| parts.uri.clone()),
        headers,
        id: request_id::<H>(parts),
        object,
        idempotent: accepted.route.item.idempotent,
        deadline,
        wait_until: deadline + LAST_ANSWER,
    }
}

fn request_id<H: HeaderCodec>(parts: &http::request::Parts) -> HeaderValue {
    let told = parts.headers.get(H::REQUEST_ID).cloned();
    told.unwrap_or_else(|| header::value(""))
}

fn host(request: &Request<Incoming>) -> String {
    let told = header::text(request.headers(), &http::header::HOST);
    let host = told.or_else(|| request.uri().host()).unwrap_or("");
    let host = host.split(':').next().unwrap_or("");
    host.to_owned()
}

fn respond<H: HeaderCodec>(forwarded: Forwarded) -> Response<AnswerBody> {
    match forwarded {
        Forwarded::Answer(response) => response,
        Forwarded::NotRun {
            reason,
            retry_after,
        } => refusal::<H>(reason, retry_after),
        Forwarded::Unknown { reason, timed_out } => {
            let status = match timed_out {
                true => StatusCode::GATEWAY_TIMEOUT,
                false => StatusCode::BAD_GATEWAY,
            };
            text(status, reason)
        }
    }
}

fn refusal<H: HeaderCodec>(reason: &str, retry_after: Duration) -> Response<AnswerBody> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, reason);
    let value = H::retry_after(retry_after);
    response
        .headers_mut()
        .insert(http::header::RETRY_AFTER, value);
    response
}

fn text(status: StatusCode, text: &str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(format!("{text}\n")));
    *response.status_mut() = status;
    response
}
