use std::borrow::Cow;
use std::marker::PhantomData;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use crate::incoming_body::IncomingBody;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body::Body;
use laburnumdeal_model::Version;
use laburnumdeal_policy::customers::{
    BootTime, CallerTerms, Customer, CustomerTable, QuotaLimit, QuotaRefusal,
};
use laburnumdeal_policy::steer::{LinkUse, RequestFingerprints, Route, hash_of};
use slog::info;
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::header;
use crate::http_server::HttpHandler;
use crate::pipeline::ArrivedAt;
use crate::roles::HeaderCodec;
use crate::roles::buffered_body::{BufferedBody, BufferedBodyError};
use crate::roles::caller_check;
use crate::roles::entry_state::EntryState;
use crate::roles::forwarding::{
    BLOCKED_REASON, BLOCKED_RETRY_AFTER, ForwardOutcome, Forwarding, Origin, Progress,
};
use crate::roles::upstream_attempt::AttemptRequest;

/// Deadline of a request whose caller gives none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

/// Time after the deadline for which an answer that is on its way is still forwarded.
const ANSWER_GRACE: Duration = Duration::from_millis(60);

/// Retry delay for callers of an instance that has no configuration yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Retry delay for a request whose route and customer have no region in common. Only a change of the
/// configuration helps.
const NO_REGION_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Retry delay for a request that comes while the keys of customers may not be used. A proof is asked
/// for several times in that time.
const LEASE_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Marks a response of this instance to a request that did not run.
#[derive(Clone, Copy, Debug)]
pub(super) struct NotRun;

/// Forwards requests of callers to upstreams and returns the answers.
pub(super) struct ForwardHandler<H> {
    state: Arc<EntryState>,
    codec: PhantomData<H>,
}

/// Request context after its route and service are chosen.
struct RoutedRequest<'a> {
    route: &'a Route,
    service: &'a str,
    customers: &'a CustomerTable,
    /// Customer that sent it; `None` if it needs no key.
    customer: Option<&'a Customer>,
    terms: CallerTerms<'a>,
    host: &'a str,
    caller: IpAddr,
    origin: Origin,
    started_at: Instant,
    max_body_bytes: u64,
}

impl<H: HeaderCodec> ForwardHandler<H> {
    pub fn new(state: Arc<EntryState>) -> Self {
        Self {
            state,
            codec: PhantomData,
        }
    }

    /// Returns the answer to a request, with the id of the request.
    pub async fn answer_with_id(
        &self,
        request: Request<IncomingBody>,
        caller: IpAddr,
        origin: Origin,
    ) -> Response<AnswerBody> {
        let id = request.headers().get(H::REQUEST_ID).cloned();
        let meter = &self.state.link_meter;
        meter.add(LinkUse::HEAD_BYTES);
        let request = request.map(|body| body.metered(meter.clone()));
        let mut response = self.answer(request, caller, origin).await;
        meter.add(response.body().size_hint().lower());
        if let Some(id) = id {
            response.headers_mut().insert(H::REQUEST_ID, id);
        }
        response
    }

    async fn answer(
        &self,
        request: Request<IncomingBody>,
        caller: IpAddr,
        origin: Origin,
    ) -> Response<AnswerBody> {
        let started_at = ArrivedAt::of(request.extensions());
        let active = self.state.active();
        let Some(configuration) = &active.configuration else {
            return unavailable_response::<H>("no configuration yet", STARTING_RETRY_AFTER);
        };
        let host = host(request.headers(), request.uri());
        let Some(route) = active.routes.find(&host, request.uri().path()) else {
            self.log_rejected(&request, StatusCode::NOT_FOUND, "no route fits");
            return text_response(StatusCode::NOT_FOUND, "no route fits");
        };
        let customers = &*active.customers;
        let needs_key = !customers.is_empty() && !route.item.is_public;
        if needs_key
            && origin.is_unchecked()
            && let Some(refusal) = self.refuse_stale(&request, configuration.version)
        {
            return refusal;
        }
        let identity =
            caller_check::identify::<H>(request.headers(), customers, &route.item, origin);
        let customer = match identity {
            Ok(customer) => customer.map(|key| customers.get(key)),
            Err(cause) if !origin.is_unchecked() => {
                let reason = "the other instance has another configuration";
                self.log_rejected(
                    &request,
                    StatusCode::SERVICE_UNAVAILABLE,
                    &cause.to_string(),
                );
                return unavailable_response::<H>(reason, STARTING_RETRY_AFTER);
            }
            Err(cause) => {
                let reason = cause.to_string();
                self.state
                    .metrics
                    .count_customer_request(None, "unidentified");
                self.log_rejected(&request, StatusCode::UNAUTHORIZED, &reason);
                return text_response(StatusCode::UNAUTHORIZED, &reason);
            }
        };
        let Some(terms) = CallerTerms::new(&route.item, customer) else {
            let reason = "route and customer have no region in common";
            self.log_rejected(&request, StatusCode::SERVICE_UNAVAILABLE, reason);
            return unavailable_response::<H>(reason, NO_REGION_RETRY_AFTER);
        };
        let mut admitted_at = None;
        if origin.is_unchecked()
            && let Some(customer) = customer
        {
            admitted_at = match self.admit_within_quota(&request, customer).await {
                Ok(admitted_at) => admitted_at,
                Err(refusal) => return refusal,
            };
        }
        let service = route.pick_service(rand::random());
        let routed = RoutedRequest {
            route,
            service,
            customers,
            customer,
            terms,
            host: &host,
            caller,
            origin,
            started_at,
            max_body_bytes: active.routes.limits().max_body_bytes,
        };
        let response = self.forward(request, &routed).await;
        if let (Some(customer), Some(admitted_at)) = (customer, admitted_at)
            && response.extensions().get::<NotRun>().is_some()
        {
            self.state.customers.give_back(&customer.name, admitted_at);
        }
        response
    }

    async fn forward(
        &self,
        request: Request<IncomingBody>,
        routed: &RoutedRequest<'_>,
    ) -> Response<AnswerBody> {
        let (parts, incoming) = request.into_parts();
        let is_repeatable = routed.route.item.idempotent;
        let buffered_bytes = self.state.link.buffered_body_bytes(is_repeatable);
        let reading = BufferedBody::read(incoming, routed.max_body_bytes, buffered_bytes);
        let body = match reading.await {
            Ok(body) => body,
            Err(BufferedBodyError::TooLong) => {
                return text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
            }
            Err(BufferedBodyError::Broken) => {
                return text_response(StatusCode::BAD_REQUEST, "the body broke off");
            }
        };
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let caller = routed.caller.to_string();
        let method = parts.method.as_str().as_bytes();
        let prefix = body.prefix(buffered_bytes);
        let content = [routed.host.as_bytes(), method, path.as_bytes(), &*prefix];
        let fingerprints = RequestFingerprints::new(caller.as_bytes(), &content);
        drop(prefix);
        let (known, is_refused) = {
            let (mut blocks, now) = (self.state.blocks(), Instant::now());
            (
                blocks.known(fingerprints, now),
                blocks.refuses(fingerprints, now),
            )
        };
        if is_refused {
            self.log_blocked(&parts, routed, fingerprints, known);
            return unavailable_response::<H>(BLOCKED_REASON, BLOCKED_RETRY_AFTER);
        }
        let attempt = attempt_request::<H>(&parts, routed, path, fingerprints);
        let id = attempt.id.clone();
        let mut forwarding = Forwarding {
            state: &self.state,
            route: routed.route,
            service: routed.service,
            terms: &routed.terms,
            customer: routed.customer,
            request: attempt,
            body,
            started_at: routed.started_at,
            progress: Progress::default(),
            origin: routed.origin,
        };
        let forward_outcome = forwarding.run::<H>().await;
        self.log_outcome(&id, routed, &forwarding, &forward_outcome);
        respond::<H>(forward_outcome)
    }

    /// Refuses a request while it is not proven that the configuration holds every withdrawal of a
    /// key that binds by now.
    fn refuse_stale(
        &self,
        request: &Request<IncomingBody>,
        version: Version,
    ) -> Option<Response<AnswerBody>> {
        let lost = self.state.customers.check_lease(version).err()?;
        self.log_rejected(request, StatusCode::SERVICE_UNAVAILABLE, &lost.to_string());
        let metrics = &self.state.metrics;
        metrics.count_customer_request(None, "unproven");
        let reason = "the keys of customers may be out of date here";
        Some(unavailable_response::<H>(reason, LEASE_RETRY_AFTER))
    }

    /// Admits a request within the limit of its customer and returns when, if there is a limit. An
    /// error is the answer to a request beyond it.
    async fn admit_within_quota(
        &self,
        request: &Request<IncomingBody>,
        customer: &Customer,
    ) -> Result<Option<BootTime>, Response<AnswerBody>> {
        let limit = QuotaLimit {
            milli_per_s: customer.rate_milli_per_s,
            burst: customer.burst,
        };
        let refusal = match self.state.customers.admit(&customer.name, limit).await {
            Ok(admitted_at) => return Ok(admitted_at),
            Err(refusal) => refusal,
        };
        let (status, retry_after, share_age) = match refusal {
            QuotaRefusal::OverLimit {
                retry_after,
                share_age,
            } => (StatusCode::TOO_MANY_REQUESTS, retry_after, share_age),
            QuotaRefusal::Unknown {
                retry_after,
                share_age,
            } => (StatusCode::SERVICE_UNAVAILABLE, retry_after, share_age),
        };
        let outcome = match status {
            StatusCode::TOO_MANY_REQUESTS => "over-limit",
            _ => "unknown-share",
        };
        let metrics = &self.state.metrics;
        metrics.count_customer_request(Some(customer), outcome);
        let age_ms = share_age.map_or(-1, |age| age.as_millis() as i64);
        let reason = format!(
            "{refusal}; customer {}, share {age_ms} ms old",
            customer.name
        );
        self.log_rejected(request, status, &reason);
        let mut response = unavailable_response::<H>(&refusal.to_string(), retry_after);
        *response.status_mut() = status;
        Err(response)
    }

    fn log_outcome(
        &self,
        id: &HeaderValue,
        routed: &RoutedRequest<'_>,
        forwarding: &Forwarding<'_>,
        forward_outcome: &ForwardOutcome,
    ) {
        let took = routed.started_at.elapsed();
        let (outcome, reason, status) = match forward_outcome {
            ForwardOutcome::Answer(response) => ("answer", "", response.status().as_u16()),
            ForwardOutcome::NotRun { reason, .. } => ("not-run", *reason, 503),
            ForwardOutcome::Unknown { reason, .. } => ("unknown", *reason, 502),
        };
        self.state
            .metrics
            .count_request(routed.service, outcome, took);
        let fair_refusal = forwarding.progress.fair_refusal();
        if routed.customer.is_some() {
            let outcome = fair_refusal.map_or(outcome, |refusal| refusal.outcome());
            let metrics = &self.state.metrics;
            metrics.count_customer_request(routed.customer, outcome);
        }
        let is_failure = outcome != "answer" || status >= 500;
        let Some(log) = self.state.log.limited(is_failure) else {
            return;
        };
        let list_age = self.state.list().age(Instant::now()).unwrap_or_default();
        let last = forwarding.progress.last_decision();
        let reach = self
            .state
            .load_balancer()
            .service_reach(routed.service, Instant::now());
        let (upstream, region) = last.map_or_else(Default::default, |decision| {
            let load_balancer = self.state.load_balancer();
            let upstream = load_balancer.endpoint(decision.upstream).0;
            let region = load_balancer.region(decision.upstream);
            (upstream.to_owned(), region.to_owned())
        });
        info!(log, "request";
            "id" => String::from_utf8_lossy(id.as_bytes()).into_owned(),
            "fingerprint" => format!("{:016x}", forwarding.request.fingerprints.by_caller),
            "caller" => routed.caller.to_string(), "route" => &routed.route.name, "route_version" => routed.route.version,
            "service" => routed.service,
            "customer" => routed.customer.map_or("", |customer| &customer.name),
            "upstream" => upstream, "region" => region,
            "rank" => last.map_or(0, |decision| decision.rank),
            "at_limit" => last.map_or(0, |decision| decision.at_limit),
            "expected_ms" => last.map_or(0, |decision| decision.expected_ms as u64),
            "queue_ms" => last.map_or(0, |decision| decision.queue_ms as u64),
            "load" => last.map_or(0, |decision| decision.load as u64),
            "load_age_ms" => last
                .and_then(|decision| decision.load_age)
                .map_or(-1, |age| age.as_millis() as i64),
            "warm" => last.is_some_and(|decision| decision.expects_cache_hit),
            "helper" => forwarding.progress.helper().unwrap_or_default(),
            "arrivals" => forwarding.progress.arrivals(), "list_age_ms" => list_age.as_millis() as u64,
            "listed" => reach.listed, "avoided" => reach.avoided,
            "waiting" => reach.waiting, "unreached" => reach.unreached,
            "took_ms" => took.as_millis() as u64, "outcome" => outcome,
            "status" => status, "reason" => match fair_refusal {
                Some(refusal) => Cow::Owned(format!("{reason}; {refusal}")),
                None => Cow::Borrowed(reason),
            }.as_ref());
    }

    fn log_blocked(
        &self,
        parts: &http::request::Parts,
        routed: &RoutedRequest<'_>,
        fingerprints: RequestFingerprints,
        (crashes, age): (usize, Duration),
    ) {
        let metrics = &self.state.metrics;
        metrics.count_request(routed.service, "blocked", routed.started_at.elapsed());
        let Some(log) = self.state.log.limited(true) else {
            return;
        };
        let id = header::text(&parts.headers, &H::REQUEST_ID);
        info!(log, "request"; "id" => id.unwrap_or("none").to_owned(),
            "fingerprint" => format!("{:016x}", fingerprints.by_caller),
            "content" => format!("{:016x}", fingerprints.by_content),
            "caller" => routed.caller.to_string(), "route" => &routed.route.name,
            "service" => routed.service, "crashes" => crashes,
            "crash_age_ms" => age.as_millis() as u64, "outcome" => "blocked",
            "status" => StatusCode::SERVICE_UNAVAILABLE.as_u16(),
            "reason" => BLOCKED_REASON);
    }

    fn log_rejected(&self, request: &Request<IncomingBody>, status: StatusCode, reason: &str) {
        let Some(log) = self.state.log.limited(true) else {
            return;
        };
        let id = header::text(request.headers(), &H::REQUEST_ID);
        info!(log, "request"; "id" => id.unwrap_or("none").to_owned(),
            "path" => request.uri().path().to_owned(), "outcome" => "rejected",
            "status" => status.as_u16(), "reason" => reason.to_owned());
    }
}

impl<H: HeaderCodec> HttpHandler for ForwardHandler<H> {
    async fn handle(
        &self,
        request: Request<IncomingBody>,
        peer: SocketAddr,
    ) -> Response<AnswerBody> {
        self.answer_with_id(request, peer.ip(), Origin::Caller)
            .await
    }

    fn may_run_ahead(&self, _method: &Method, uri: &Uri, headers: &HeaderMap) -> bool {
        let active = self.state.active();
        let route = active.routes.find(&host(headers, uri), uri.path());
        route.is_some_and(|route| route.item.idempotent)
    }

    fn is_closing(&self) -> bool {
        self.state.is_leaving()
    }
}

fn attempt_request<H: HeaderCodec>(
    parts: &http::request::Parts,
    routed: &RoutedRequest<'_>,
    path: &str,
    fingerprints: RequestFingerprints,
) -> AttemptRequest {
    let header_ms = header::text(&parts.headers, &H::DEADLINE_MS);
    let header_ms = header_ms.and_then(|text| text.trim().parse::<f64>().ok());
    let caller_timeout = header_ms.filter(|ms| ms.is_finite() && *ms >= 0.0);
    let caller_timeout = caller_timeout.map_or(DEFAULT_DEADLINE, |ms| {
        Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or(Duration::MAX)
    });
    let route_timeout = Duration::from_millis(routed.route.item.timeout_ms);
    let deadline = routed.started_at + caller_timeout.min(route_timeout);
    let object = match parts.headers.get(H::AFFINITY_KEY) {
        Some(object) => hash_of(&[object.as_bytes()]),
        None => hash_of(&[path.as_bytes()]),
    };
    let mut headers = header::end_to_end(&parts.headers);
    headers.remove(http::header::EXPECT);
    caller_check::replace_headers::<H>(&mut headers, routed.customers, routed.customer);
    AttemptRequest {
        method: parts.method.clone(),
        uri: path.parse::<Uri>().unwrap_or_else(|_| parts.uri.clone()),
        headers,
        id: request_id::<H>(parts),
        caller: routed.caller,
        fingerprints,
        object,
        idempotent: routed.route.item.idempotent,
        may_check: !routed.route.item.idempotent,
        has_checked_customer: !routed.customers.is_empty(),
        deadline,
        wait_until: deadline + ANSWER_GRACE,
    }
}

fn request_id<H: HeaderCodec>(parts: &http::request::Parts) -> HeaderValue {
    let id = parts.headers.get(H::REQUEST_ID).cloned();
    id.unwrap_or_else(|| header::value(""))
}

fn host(headers: &HeaderMap, uri: &Uri) -> String {
    let host = header::text(headers, &http::header::HOST);
    let host = host.or_else(|| uri.host()).unwrap_or("");
    let host = host.split(':').next().unwrap_or("");
    host.to_owned()
}

fn respond<H: HeaderCodec>(outcome: ForwardOutcome) -> Response<AnswerBody> {
    match outcome {
        ForwardOutcome::Answer(response) => response,
        ForwardOutcome::NotRun {
            reason,
            retry_after,
        } => {
            let mut response = unavailable_response::<H>(reason, retry_after);
            response.extensions_mut().insert(NotRun);
            response
        }
        ForwardOutcome::Unknown { reason, timed_out } => {
            let status = match timed_out {
                true => StatusCode::GATEWAY_TIMEOUT,
                false => StatusCode::BAD_GATEWAY,
            };
            text_response(status, reason)
        }
    }
}

fn unavailable_response<H: HeaderCodec>(
    reason: &str,
    retry_after: Duration,
) -> Response<AnswerBody> {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    let value = H::retry_after(retry_after);
    response
        .headers_mut()
        .insert(http::header::RETRY_AFTER, value);
    response
}

fn text_response(status: StatusCode, text: &str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(format!("{text}\n")));
    *response.status_mut() = status;
    response
}
