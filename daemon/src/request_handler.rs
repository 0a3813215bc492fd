use std::net::IpAddr;
use std::sync::Arc;

use crate::incoming_body::IncomingBody;
use http::{Request, Response};
use laburnumdeal_policy::Outcome;
use slog::{debug, warn};
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::fault_points::FaultPoint;
use crate::final_outcome::{FinalOutcome, text_response};
use crate::header;
use crate::prepared_request::PreparedRequest;
use crate::request_error::RequestError;
use crate::role::Role;
use crate::state::State;
use crate::trace::TraceRecorder;
use crate::{keyed_request, request_execution};

/// Serves one request from a caller or another instance and returns the response with its final
/// outcome.
pub async fn handle_request(
    state: &Arc<State>,
    request: Request<IncomingBody>,
    caller: IpAddr,
    role: Role,
) -> Response<AnswerBody> {
    let _in_progress = state.count_request();
    let started_at = Instant::now();
    let read_result = PreparedRequest::read(
        request,
        caller,
        &state.topology,
        state.settings.stop_ms,
        || state.new_request_id(),
    )
    .await;
    let prepared = match read_result {
        Ok(prepared) => Arc::new(prepared),
        Err(error) => return rejection_response(&error),
    };
    state.fault_points.pause_at(FaultPoint::Arrived).await;
    let service = &state.topology.service(prepared.service).name;
    let version = state.configuration.version();
    let trace = Arc::new(TraceRecorder::new(&prepared.request_id, service, version));
    let final_outcome = match dispatch(state, prepared.clone(), role, trace.clone()).await {
        Ok(final_outcome) => final_outcome,
        Err(error) => return rejection_response(&error),
    };
    let outcome = final_outcome.outcome();
    record_trace(state, &trace, outcome);
    state
        .metrics
        .record_request(service, &outcome.to_string(), started_at.elapsed());
    build_response(state, &prepared, final_outcome)
}

async fn dispatch(
    state: &Arc<State>,
    prepared: Arc<PreparedRequest>,
    role: Role,
    trace: Arc<TraceRecorder>,
) -> Result<FinalOutcome, RequestError> {
    match (role, prepared.key.is_some()) {
        (Role::Entry | Role::Home, true) => {
            keyed_request::serve(state, prepared, role, trace).await
        }
        _ => Ok(request_execution::execute(state, &prepared, role, &trace).await),
    }
}

fn record_trace(state: &State, trace: &TraceRecorder, outcome: Outcome) {
    let trace = trace.finish(outcome);
    let last_reason = trace
        .steps
        .last()
        .map_or("", |step| step.reason.as_str())
        .to_owned();
    match outcome {
        Outcome::Answer => debug!(state.log, "request answered";
            "request_id" => &trace.request_id, "version" => trace.version.0),
        Outcome::NotRun | Outcome::Unknown => warn!(state.log, "request not answered";
            "request_id" => &trace.request_id, "service" => &trace.service,
            "version" => trace.version.0, "outcome" => outcome.to_string(),
            "reason" => last_reason),
    }
    state.traces.insert(trace);
}

fn build_response(
    state: &State,
    prepared: &PreparedRequest,
    final_outcome: FinalOutcome,
) -> Response<AnswerBody> {
    let needs_token = !prepared.idempotent && final_outcome.outcome() != Outcome::Answer;
    let mut response = final_outcome.into_response();
    let request_id = header::value(&prepared.request_id);
    response
        .headers_mut()
        .insert(header::REQUEST_ID, request_id);
    if needs_token && let Some(token) = state.new_claim_token() {
        response
            .headers_mut()
            .insert(header::TOKEN, header::value(&token));
    }
    response
}

/// Returns the response to a malformed request, which did not run.
pub fn rejection_response(error: &RequestError) -> Response<AnswerBody> {
    let reason = error.to_string();
    let mut response = text_response(error.status(), &format!("{reason}\n"), &reason);
    let outcome = header::value(&Outcome::NotRun.to_string());
    response.headers_mut().insert(header::OUTCOME, outcome);
    response
}
