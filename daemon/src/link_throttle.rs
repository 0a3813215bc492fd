//! Rate limits of the links between regions: requests reserve their bytes before they are
//! forwarded, and answers before they are sent back.

use std::time::Duration;

use http::Response;
use http_body::Body;
use laburnumdeal_model::InstanceId;
use laburnumdeal_policy::{CapExceeded, CapKey};
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::final_outcome::FinalOutcome;
use crate::prepared_request::ASSUMED_HEAD_BYTES;
use crate::state::State;

/// Returns the answer once its bytes are reserved on the link to the requesting instance, or an
/// unknown outcome when they cannot be before the deadline. An answer of unknown length reserves
/// only the assumed size of its head.
pub async fn throttle_answer(
    state: &State,
    to: InstanceId,
    answer: Response<AnswerBody>,
    deadline: Instant,
) -> Response<AnswerBody> {
    let Some(link) = link_to(state, to) else {
        return answer;
    };
    let bytes = ASSUMED_HEAD_BYTES + answer.body().size_hint().exact().unwrap_or(0);
    match reserve_bytes(state, link, bytes, deadline).await {
        Ok(()) => answer,
        Err(over_cap) => {
            let reason = format!("the answer does not fit on the link: {over_cap}");
            FinalOutcome::unknown(reason).into_response()
        }
    }
}

/// Reserves bytes of a link piece by piece and returns once all are reserved.
///
/// # Errors
///
/// Returns the exhausted link when the rest cannot be reserved before the deadline.
pub async fn reserve_bytes(
    state: &State,
    link: CapKey,
    mut bytes: u64,
    deadline: Instant,
) -> Result<(), CapExceeded> {
    while bytes > 0 {
        match state.shares.spend_part(link, bytes, Instant::now()) {
            Ok(reserved) => bytes -= reserved.min(bytes),
            Err(over_cap) => {
                let retry_at =
                    Instant::now() + Duration::from_millis(over_cap.retry_after_ms.max(1));
                if retry_at >= deadline {
                    return Err(over_cap);
                }
                tokio::time::sleep_until(retry_at).await;
            }
        }
    }
    Ok(())
}

fn link_to(state: &State, to: InstanceId) -> Option<CapKey> {
    let from_region = state.topology.region_of(state.own_zone);
    let to_region = state.topology.region_of(state.topology.instance(to).zone);
    let mut links = state.topology.links.iter();
    links
        .any(|link| (link.from, link.to) == (from_region, to_region))
        .then_some(CapKey::Link(from_region, to_region))
}
