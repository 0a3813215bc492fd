//! Requests that may not be repeated: the claim on both instances of a pair comes first.

use std::sync::Arc;

use laburnumdeal_model::InstanceId;
use laburnumdeal_policy::{
    Begin, Claim, ClaimFinish, MemberState, MirrorReply, NotRunProof, Outcome, RequestKey, Started,
    StoredAnswer, UnknownReason, pair_for_bare_key,
};
use tokio::time::Instant;

use crate::attempt::{self, Attempt};
use crate::claim_outcome::{Held, already_ran, fenced, finished, hold, of_fence};
use crate::fault_points::{FaultPoint, InjectedFault};
use crate::peer_message::{PeerReply, PeerRequest};
use crate::prepared::Prepared;
use crate::request_error::RequestError;
use crate::request_path;
use crate::role::Role;
use crate::served::Served;
use crate::state::State;
use crate::trace::TraceBuilder;

/// Times that the mirror is asked before the claim is given up.
const MIRROR_TRIES: u32 = 2;

/// Serves a request with a key: here when this instance is its home, through the home otherwise.
///
/// # Errors
///
/// Returns what is wrong with the key; the request did not run.
pub async fn serve(
    state: &Arc<State>,
    prepared: Arc<Prepared>,
    role: Role,
    trace: Arc<TraceBuilder>,
) -> Result<Served, RequestError> {
    let text = prepared.key.as_deref().unwrap_or_default();
    let key = RequestKey::parse(text, &state.sealer).map_err(|error| RequestError::BadKey {
        reason: error.to_string(),
    })?;
    let pair = pair_of(state, &key);
    if pair.home == state.me || answers_for_home(state, &key) {
        return at_home(state, prepared, key, pair, trace).await;
    }
    if role == Role::Home {
        return fence_here(state, &prepared, &key, &trace);
    }
    through_home(state, &prepared, &key, pair, &trace).await
}

/// Returns whether the home of a key handed its claims over to this instance.
fn answers_for_home(state: &State, key: &RequestKey) -> bool {
    let token = key.token.as_ref();
    token.is_some_and(|token| state.claims.answers_for(token.home, token.home_boot))
}

/// The two instances that claim a key.
#[derive(Clone, Copy, Debug)]
struct Pair {
    home: InstanceId,
    mirror: Option<InstanceId>,
}

fn pair_of(state: &State, key: &RequestKey) -> Pair {
    match &key.token {
        Some(token) => Pair {
            home: token.home,
            mirror: token.mirror.map(|(id, _)| id),
        },
        None => {
            let ids = state.topology.instance_ids();
            let members: Vec<_> = ids
                .map(|id| (id, state.topology.instance(id).zone))
                .collect();
            let (home, mirror) = pair_for_bare_key(key.id(), &members);
            Pair { home, mirror }
        }
    }
}

/// Claims the key here and runs the request, or tells what became of an earlier send.
async fn at_home(
    state: &Arc<State>,
    prepared: Arc<Prepared>,
    key: RequestKey,
    pair: Pair,
    trace: Arc<TraceBuilder>,
) -> Result<Served, RequestError> {
    match state.claims.begin(&key, prepared.fingerprint) {
        Begin::Claimed(claim) => {
            trace.step("claim", "claimed here");
            Ok(run_claimed(state, prepared, claim, trace).await)
        }
        Begin::Running(running) => {
            trace.step(
                "claim",
                "an earlier send is in flight: waiting for its outcome",
            );
            match tokio::time::timeout_at(prepared.deadline, running.wait()).await {
                Ok(finish) => Ok(finished(finish)),
                Err(_) => Ok(Served::unknown(
                    "an earlier send of the key is still in flight",
                )),
            }
        }
        Begin::Finished(answer) => Ok(finished(ClaimFinish::Answer(answer))),
        Begin::AlreadyRan => Ok(already_ran()),
        Begin::Fenced => Ok(fenced()),
        Begin::Unknown(UnknownReason::OtherRun) => {
            trace.step("claim", "the key is of an earlier run of this instance");
            at_mirror(state, &prepared, &key, pair, &trace).await
        }
        Begin::Unknown(reason) => Ok(Served::unknown(reason.to_string())),
        Begin::KeyReused => Err(RequestError::KeyReused),
    }
}

/// Runs a claimed request in a task of its own: a caller that goes away does not end it, since
/// it may come back with the key for the answer.
async fn run_claimed(
    state: &Arc<State>,
    prepared: Arc<Prepared>,
    claim: Claim,
    trace: Arc<TraceBuilder>,
) -> Served {
    let task = tokio::spawn(claim_and_run(state.clone(), prepared, claim, trace));
    task.await
        .unwrap_or_else(|_| Served::unknown("the request's task ended early"))
}

async fn claim_and_run(
    state: Arc<State>,
    prepared: Arc<Prepared>,
    mut claim: Claim,
    trace: Arc<TraceBuilder>,
) -> Served {
    let _in_progress = state.count_request();
    let mirror = claim.mirror();
    state.fault_points.pause_at(FaultPoint::Claimed).await;
    if let Some(mirror) = mirror {
        let Some(reply) = ask_mirror(&state, &prepared, mirror).await else {
            trace.step("claim", "the mirror gave no reply: fenced");
            claim.abandon();
            return fenced();
        };
        trace.step("claim", format!("the mirror replied {reply:?}"));
        match claim.confirm_mirror(reply) {
            Ok(()) => {}
            Err(Outcome::NotRun) => return fenced(),
            Err(_) => return already_ran(),
        }
    }
    state.fault_points.pause_at(FaultPoint::Mirrored).await;
    let Ok(started) = claim.start() else {
        trace.step("claim", "fenced before the start");
        return fenced();
    };
    state.fault_points.pause_at(FaultPoint::Started).await;
    let served = request_path::serve(&state, &prepared, Role::Home, &trace).await;
    settle(&state, &prepared, started, mirror, served).await
}

async fn ask_mirror(state: &State, prepared: &Prepared, mirror: InstanceId) -> Option<MirrorReply> {
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
    for _ in 0..MIRROR_TRIES {
        let asked = state.peers.call(mirror, &message);
        match tokio::time::timeout_at(prepared.deadline, asked).await {
            Ok(Ok(PeerReply::Mirror(reply))) => return Some(reply),
            Ok(_) => {}
            Err(_) => return None,
        }
    }
    None
}

/// Notes the outcome in the claim, tells the mirror, and returns what the caller gets.
async fn settle(
    state: &Arc<State>,
    prepared: &Prepared,
    started: Started,
    mirror: Option<InstanceId>,
    served: Served,
) -> Served {
    match served {
        Served::Answer(response) => match hold(response).await {
            Ok(answer) => {
                state.fault_points.pause_at(FaultPoint::Answered).await;
                let kept = started.finish(answer);
                state.fault_points.pause_at(FaultPoint::Stored).await;
                tell_answer(state, prepared, mirror, &kept);
                finished(ClaimFinish::Answer(kept))
            }
            Err(Held::Streams(response)) => {
                started.finish_unknown();
                Served::Answer(response)
            }
            Err(Held::Broken) => {
                started.finish_unknown();
                Served::unknown("the answer broke off")
            }
        },
        Served::Rejected(response) => {
            started.finish_not_run();
            tell_fence(state, prepared, mirror);
            Served::Rejected(response)
        }
        Served::NotRun {
            reason,
            retry_after,
        } => {
            started.finish_not_run();
            tell_fence(state, prepared, mirror);
            Served::NotRun {
                reason,
                retry_after,
            }
        }
        Served::Unknown { reason } => {
            started.finish_unknown();
            Served::Unknown { reason }
        }
    }
}

fn tell_answer(
    state: &Arc<State>,
    prepared: &Prepared,
    mirror: Option<InstanceId>,
    answer: &StoredAnswer,
) {
    let key = prepared.key.clone().unwrap_or_default();
    tell(
        state,
        mirror,
        PeerRequest::StoreAnswer {
            key,
            answer: answer.clone(),
        },
    );
}

fn tell_fence(state: &Arc<State>, prepared: &Prepared, mirror: Option<InstanceId>) {
    let key = prepared.key.clone().unwrap_or_default();
    tell(
        state,
        mirror,
        PeerRequest::StoreFence {
            key,
            home_boot: state.boot,
        },
    );
}

/// Sends a message that helps resends but on which nothing depends.
fn tell(state: &Arc<State>, to: Option<InstanceId>, message: PeerRequest) {
    let Some(to) = to else {
        return;
    };
    let state = state.clone();
    tokio::spawn(async move {
        let _ = state.peers.call(to, &message).await;
    });
}

/// Fences the key with this instance's half of the pair.
fn fence_here(
    state: &State,
    prepared: &Prepared,
    key: &RequestKey,
    trace: &TraceBuilder,
) -> Result<Served, RequestError> {
    let reply = state.claims.fence(key, prepared.fingerprint);
    trace.step("claim", format!("fenced here: {reply:?}"));
    of_fence(reply)
}

/// Forwards to the home; when it gives no final outcome, asks the mirror to fence the key.
async fn through_home(
    state: &Arc<State>,
    prepared: &Prepared,
    key: &RequestKey,
    pair: Pair,
    trace: &TraceBuilder,
) -> Result<Served, RequestError> {
    let name = &state.topology.instance(pair.home).name;
    let home_state = state.membership.state(pair.home, Instant::now());
    let is_reachable = !matches!(home_state, MemberState::OutOfReach | MemberState::Left);
    let mut last = "the home of the key is out of reach".to_owned();
    if is_reachable {
        match attempt::at_peer(state, prepared, pair.home, Role::Home).await {
            Attempt::Answered(response) => return Ok(Served::Answer(response)),
            Attempt::Rejected(response) => return Ok(Served::Rejected(response)),
            Attempt::NotRun {
                proof: NotRunProof::Shed,
                reason,
                retry_after,
            } => {
                return Ok(Served::NotRun {
                    reason,
                    retry_after,
                });
            }
            Attempt::NotRun { reason, .. } | Attempt::Unknown { reason, .. } => last = reason,
        }
    }
    trace.step(name.clone(), format!("gave no final outcome: {last}"));
    at_mirror(state, prepared, key, pair, trace).await
}

/// Has the mirror fence the key, or tell what became of it.
async fn at_mirror(
    state: &Arc<State>,
    prepared: &Prepared,
    key: &RequestKey,
    pair: Pair,
    trace: &TraceBuilder,
) -> Result<Served, RequestError> {
    match pair.mirror {
        Some(mirror) if mirror == state.me => fence_here(state, prepared, key, trace),
        Some(mirror) => fence_at(state, prepared, mirror, trace).await,
        None => Ok(Served::unknown(
            "the only instance that could have claimed the key is gone",
        )),
    }
}

async fn fence_at(
    state: &State,
    prepared: &Prepared,
    mirror: InstanceId,
    trace: &TraceBuilder,
) -> Result<Served, RequestError> {
    let name = state.topology.instance(mirror).name.clone();
    let message = PeerRequest::Fence {
        key: prepared.key.clone().unwrap_or_default(),
        fingerprint: prepared.fingerprint,
    };
    match state.peers.call(mirror, &message).await {
        Ok(PeerReply::Fence(reply)) => {
            trace.step(name, format!("asked to fence: {reply:?}"));
            of_fence(reply)
        }
        _ => {
            trace.step(name, "asked to fence: no reply");
            Ok(Served::unknown(
                "neither instance that could have claimed the key is in reach",
            ))
        }
    }
}
