//! Execution of requests with a key, which may run at most once: before the request starts, its key
//! is claimed on two instances, the home and the mirror. Once a key is fenced, no request with it
//! can start.

use std::sync::Arc;

use laburnumdeal_model::InstanceId;
use laburnumdeal_policy::{
    BeginReply, Claim, ClaimResult, MemberState, MirrorReply, NotRunProof, Outcome, RequestKey,
    StartedClaim, StoredAnswer, UnknownReason, pair_for_tokenless_key,
};
use tokio::time::Instant;

use crate::attempt::{self, Attempt};
use crate::claim_outcome::{
    NotStored, already_ran_outcome, fenced_outcome, from_claim_result, from_fence_reply,
    to_stored_answer,
};
use crate::fault_points::{FaultPoint, InjectedFault};
use crate::final_outcome::FinalOutcome;
use crate::peer_message::{PeerReply, PeerRequest};
use crate::prepared_request::PreparedRequest;
use crate::request_error::RequestError;
use crate::request_execution;
use crate::role::Role;
use crate::state::State;
use crate::trace::TraceRecorder;

/// Maximum number of times that the mirror is asked before the claim is abandoned.
const MAX_MIRROR_ATTEMPTS: u32 = 2;

/// Serves a request with a key: locally when this instance is the key's home, by forwarding it to
/// the home otherwise.
///
/// # Errors
///
/// Returns what is wrong with the key; the request did not run.
pub async fn serve(
    state: &Arc<State>,
    prepared: Arc<PreparedRequest>,
    role: Role,
    trace: Arc<TraceRecorder>,
) -> Result<FinalOutcome, RequestError> {
    let text = prepared.key.as_deref().unwrap_or_default();
    let key = RequestKey::parse(text, &state.sealer).map_err(|error| RequestError::BadKey {
        reason: error.to_string(),
    })?;
    let pair = claim_pair(state, &key);
    if pair.home == state.own_id || holds_claims_of_home(state, &key) {
        return serve_as_home(state, prepared, key, pair, trace).await;
    }
    if role == Role::Home {
        return fence_locally(state, &prepared, &key, &trace);
    }
    forward_to_home(state, &prepared, &key, pair, &trace).await
}

/// Returns whether the home of a key handed over its claims to this instance.
fn holds_claims_of_home(state: &State, key: &RequestKey) -> bool {
    let token = key.token.as_ref();
    token.is_some_and(|token| state.claims.is_responsible_for(token.home, token.home_boot))
}

/// The instances that claim a key; a key may have no mirror.
#[derive(Clone, Copy, Debug)]
struct ClaimPair {
    home: InstanceId,
    mirror: Option<InstanceId>,
}

fn claim_pair(state: &State, key: &RequestKey) -> ClaimPair {
    match &key.token {
        Some(token) => ClaimPair {
            home: token.home,
            mirror: token.mirror.map(|(id, _)| id),
        },
        None => {
            let ids = state.topology.instance_ids();
            let members: Vec<_> = ids
                .map(|id| (id, state.topology.instance(id).zone))
                .collect();
            let (home, mirror) = pair_for_tokenless_key(key.id(), &members);
            ClaimPair { home, mirror }
        }
    }
}

/// Claims the key locally and runs the request, or returns the outcome of an earlier request with
/// the key.
async fn serve_as_home(
    state: &Arc<State>,
    prepared: Arc<PreparedRequest>,
    key: RequestKey,
    pair: ClaimPair,
    trace: Arc<TraceRecorder>,
) -> Result<FinalOutcome, RequestError> {
    match state.claims.begin(&key, prepared.fingerprint) {
        BeginReply::Claimed(claim) => {
            trace.record("claim", "claimed here");
            Ok(spawn_claimed(state, prepared, claim, trace).await)
        }
        BeginReply::Running(running) => {
            trace.record(
                "claim",
                "an earlier send is in flight: waiting for its outcome",
            );
            match tokio::time::timeout_at(prepared.deadline, running.wait()).await {
                Ok(result) => Ok(from_claim_result(result)),
                Err(_) => Ok(FinalOutcome::unknown(
                    "an earlier send of the key is still in flight",
                )),
            }
        }
        BeginReply::Finished(answer) => Ok(from_claim_result(ClaimResult::Answer(answer))),
        BeginReply::AlreadyRan => Ok(already_ran_outcome()),
        BeginReply::Fenced => Ok(fenced_outcome()),
        BeginReply::Unknown(UnknownReason::OtherRun) => {
            trace.record("claim", "the key is of an earlier run of this instance");
            resolve_at_mirror(state, &prepared, &key, pair, &trace).await
        }
        BeginReply::Unknown(reason) => Ok(FinalOutcome::unknown(reason.to_string())),
        BeginReply::KeyReused => Err(RequestError::KeyReused),
    }
}

/// Runs a claimed request in its own task, so that it goes on when the caller disconnects: the
/// caller may send the key again to get the answer.
async fn spawn_claimed(
    state: &Arc<State>,
    prepared: Arc<PreparedRequest>,
    claim: Claim,
    trace: Arc<TraceRecorder>,
) -> FinalOutcome {
    let task = tokio::spawn(execute_claimed(state.clone(), prepared, claim, trace));
    task.await
        .unwrap_or_else(|_| FinalOutcome::unknown("the request's task ended early"))
}

async fn execute_claimed(
    state: Arc<State>,
    prepared: Arc<PreparedRequest>,
    mut claim: Claim,
    trace: Arc<TraceRecorder>,
) -> FinalOutcome {
    let _in_progress = state.count_request();
    let mirror = claim.mirror();
    state.fault_points.pause_at(FaultPoint::Claimed).await;
    if let Some(mirror) = mirror {
        let Some(reply) = request_mirror_claim(&state, &prepared, mirror).await else {
            trace.record("claim", "the mirror gave no reply: fenced");
            claim.abandon();
            return fenced_outcome();
        };
        trace.record("claim", format!("the mirror replied {reply:?}"));
        match claim.confirm_mirror(reply) {
            Ok(()) => {}
            Err(Outcome::NotRun) => return fenced_outcome(),
            Err(_) => return already_ran_outcome(),
        }
    }
    state.fault_points.pause_at(FaultPoint::Mirrored).await;
    let Ok(started) = claim.start() else {
        trace.record("claim", "fenced before the start");
        return fenced_outcome();
    };
    state.fault_points.pause_at(FaultPoint::Started).await;
    let final_outcome = request_execution::execute(&state, &prepared, Role::Home, &trace).await;
    record_outcome(&state, &prepared, started, mirror, final_outcome).await
}

async fn request_mirror_claim(
    state: &State,
    prepared: &PreparedRequest,
    mirror: InstanceId,
) -> Option<MirrorReply> {
    if state
        .fault_points
        .is_injected(InjectedFault::StartWithoutMirror)
    {
        return Some(MirrorReply::Claimed {
            mirror_boot: state.boot,
        });
    }
    let message = PeerRequest::MirrorClaim {
        key: prepared.key.clone().unwrap_or_default(),
        fingerprint: prepared.fingerprint,
        home_boot: state.boot,
    };
    for _ in 0..MAX_MIRROR_ATTEMPTS {
        let call = state.peer_client.call(mirror, &message);
        match tokio::time::timeout_at(prepared.deadline, call).await {
            Ok(Ok(PeerReply::Mirror(reply))) => return Some(reply),
            Ok(_) => {}
            Err(_) => return None,
        }
    }
    None
}

/// Records the outcome in the claim, informs the mirror, and returns the outcome for the caller.
async fn record_outcome(
    state: &Arc<State>,
    prepared: &PreparedRequest,
    started: StartedClaim,
    mirror: Option<InstanceId>,
    final_outcome: FinalOutcome,
) -> FinalOutcome {
    match final_outcome {
        FinalOutcome::Answer(response) => match to_stored_answer(response).await {
            Ok(answer) => {
                state.fault_points.pause_at(FaultPoint::Answered).await;
                let stored = started.finish(answer);
                state.fault_points.pause_at(FaultPoint::Stored).await;
                send_answer_to_mirror(state, prepared, mirror, &stored);
                from_claim_result(ClaimResult::Answer(stored))
            }
            Err(NotStored::Streamed(response)) => {
                started.finish_unknown();
                FinalOutcome::Answer(response)
            }
            Err(NotStored::Broken) => {
                started.finish_unknown();
                FinalOutcome::unknown("the answer broke off")
            }
        },
        FinalOutcome::Rejected(response) => {
            started.finish_not_run();
            send_fence_to_mirror(state, prepared, mirror);
            FinalOutcome::Rejected(response)
        }
        FinalOutcome::NotRun {
            reason,
            retry_after,
        } => {
            started.finish_not_run();
            send_fence_to_mirror(state, prepared, mirror);
            FinalOutcome::NotRun {
                reason,
                retry_after,
            }
        }
        FinalOutcome::Unknown { reason } => {
            started.finish_unknown();
            FinalOutcome::Unknown { reason }
        }
    }
}

fn send_answer_to_mirror(
    state: &Arc<State>,
    prepared: &PreparedRequest,
    mirror: Option<InstanceId>,
    answer: &StoredAnswer,
) {
    let key = prepared.key.clone().unwrap_or_default();
    send_best_effort(
        state,
        mirror,
        PeerRequest::StoreAnswer {
            key,
            answer: answer.clone(),
        },
    );
}

fn send_fence_to_mirror(
    state: &Arc<State>,
    prepared: &PreparedRequest,
    mirror: Option<InstanceId>,
) {
    let key = prepared.key.clone().unwrap_or_default();
    send_best_effort(
        state,
        mirror,
        PeerRequest::StoreFence {
            key,
            home_boot: state.boot,
        },
    );
}

/// Sends a message without waiting for delivery. It only improves the outcome of a request that is
/// sent again; correctness does not depend on it.
fn send_best_effort(state: &Arc<State>, to: Option<InstanceId>, message: PeerRequest) {
    let Some(to) = to else {
        return;
    };
    let state = state.clone();
    tokio::spawn(async move {
        let _ = state.peer_client.call(to, &message).await;
    });
}

/// Fences the key on this instance as one of the pair.
fn fence_locally(
    state: &State,
    prepared: &PreparedRequest,
    key: &RequestKey,
    trace: &TraceRecorder,
) -> Result<FinalOutcome, RequestError> {
    let reply = state.claims.fence(key, prepared.fingerprint);
    trace.record("claim", format!("fenced here: {reply:?}"));
    from_fence_reply(reply)
}

/// Forwards the request to the home; without a final outcome from there, asks the mirror to fence
/// the key.
async fn forward_to_home(
    state: &Arc<State>,
    prepared: &PreparedRequest,
    key: &RequestKey,
    pair: ClaimPair,
    trace: &TraceRecorder,
) -> Result<FinalOutcome, RequestError> {
    let name = &state.topology.instance(pair.home).name;
    let home_state = state.membership.state(pair.home, Instant::now());
    let is_reachable = !matches!(home_state, MemberState::OutOfReach | MemberState::Left);
    let mut last_reason = "the home of the key is out of reach".to_owned();
    if is_reachable {
        match attempt::send_to_peer(state, prepared, pair.home, Role::Home).await {
            Attempt::Answered(response) => return Ok(FinalOutcome::Answer(response)),
            Attempt::Rejected(response) => return Ok(FinalOutcome::Rejected(response)),
            Attempt::NotRun {
                proof: NotRunProof::Shed,
                reason,
                retry_after,
            } => {
                return Ok(FinalOutcome::NotRun {
                    reason,
                    retry_after,
                });
            }
            Attempt::NotRun { reason, .. } | Attempt::Unknown { reason, .. } => {
                last_reason = reason
            }
        }
    }
    trace.record(
        name.clone(),
        format!("gave no final outcome: {last_reason}"),
    );
    resolve_at_mirror(state, prepared, key, pair, trace).await
}

/// Asks the mirror to fence the key or to return the outcome of an earlier request with it.
async fn resolve_at_mirror(
    state: &Arc<State>,
    prepared: &PreparedRequest,
    key: &RequestKey,
    pair: ClaimPair,
    trace: &TraceRecorder,
) -> Result<FinalOutcome, RequestError> {
    match pair.mirror {
        Some(mirror) if mirror == state.own_id => fence_locally(state, prepared, key, trace),
        Some(mirror) => fence_on_mirror(state, prepared, mirror, trace).await,
        None => Ok(FinalOutcome::unknown(
            "the only instance that could have claimed the key is gone",
        )),
    }
}

async fn fence_on_mirror(
    state: &State,
    prepared: &PreparedRequest,
    mirror: InstanceId,
    trace: &TraceRecorder,
) -> Result<FinalOutcome, RequestError> {
    let name = state.topology.instance(mirror).name.clone();
    let message = PeerRequest::Fence {
        key: prepared.key.clone().unwrap_or_default(),
        fingerprint: prepared.fingerprint,
    };
    match state.peer_client.call(mirror, &message).await {
        Ok(PeerReply::Fence(reply)) => {
            trace.record(name, format!("asked to fence: {reply:?}"));
            from_fence_reply(reply)
        }
        _ => {
            trace.record(name, "asked to fence: no reply");
            Ok(FinalOutcome::unknown(
                "neither instance that could have claimed the key is in reach",
            ))
        }
    }
}
