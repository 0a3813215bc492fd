use std::net::IpAddr;
use std::sync::Arc;

use http::{Request, Response};
use hyper::body::Incoming;
use laburnumdeal_policy::Outcome;
use slog::{debug, warn};
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::fault_points::FaultPoint;
use crate::header;
use crate::prepared::Prepared;
use crate::request_error::RequestError;
use crate::role::Role;
use crate::served::{Served, text_response};
use crate::state::State;
use crate::trace::TraceBuilder;
use crate::{claim_path, request_path};

/// Serves one request of a caller or of another instance and returns its final outcome.
pub async fn handle(
    state: &Arc<State>,
    request: Request<Incoming>,
    caller: IpAddr,
    role: Role,
) -> Response<AnswerBody> {
    let _in_progress = state.count_request();
    let started_at = Instant::now();
    let reading = Prepared::read(
        request,
        caller,
        &state.topology,
        state.settings.stop_ms,
        || state.new_request_id(),
    )
    .await;
    let prepared = match reading {
        Ok(prepared) => Arc::new(prepared),
        Err(error) => return rejection(&error),
    };
    state.fault_points.pause_at(FaultPoint::Arrived).await;
    let service = &state.topology.service(prepared.service).name;
    let version = state.configuration.version();
    let trace = Arc::new(TraceBuilder::new(&prepared.request_id, service, version));
    let served = match serve(state, prepared.clone(), role, trace.clone()).await {
        Ok(served) => served,
        Err(error) => return rejection(&error),
    };
    let outcome = served.outcome();
    note(state, &trace, outcome);
    state
        .metrics
        .ended(service, &outcome.to_string(), started_at.elapsed());
    finish(state, &prepared, served)
}

async fn serve(
    state: &Arc<State>,
    prepared: Arc<Prepared>,
    role: Role,
    trace: Arc<TraceBuilder>,
) -> Result<Served, RequestError> {
    match (role, prepared.key.is_some()) {
        (Role::Entry | Role::Home, true) => claim_path::serve(state, prepared, role, trace).await,
        _ => Ok(request_path::serve(state, &prepared, role, &trace).await),
    }
}

fn note(state: &State, trace: &TraceBuilder, outcome: Outcome) {
    let trace = trace.finish(outcome);
    let last = trace
        .steps
        .last()
        .map_or("", |step| step.reason.as_str())
        .to_owned();
    match outcome {
        Outcome::Answer => debug!(state.log, "request answered";
            "request_id" => &trace.request_id, "version" => trace.version.0),
        Outcome::NotRun | Outcome::Unknown => warn!(state.log, "request not answered";
            "request_id" => &trace.request_id, "service" => &trace.service,
            "version" => trace.version.0, "outcome" => outcome.to_string(), "reason" => last),
    }
    state.traces.keep(trace);
}

fn finish(state: &State, prepared: &Prepared, served: Served) -> Response<AnswerBody> {
    let needs_token = !prepared.idempotent && served.outcome() != Outcome::Answer;
    let mut response = served.into_response();
    let id = header::value(&prepared.request_id);
    response.headers_mut().insert(header::REQUEST_ID, id);
    if needs_token && let Some(token) = state.new_token() {
        response
            .headers_mut()
            .insert(header::TOKEN, header::value(&token));
    }
    response
}

/// Returns the response to a request that is malformed; it did not run.
pub fn rejection(error: &RequestError) -> Response<AnswerBody> {
    let reason = error.to_string();
    let mut response = text_response(error.status(), &format!("{reason}\n"), &reason);
    let outcome = header::value(&Outcome::NotRun.to_string());
    response.headers_mut().insert(header::OUTCOME, outcome);
    response
}
