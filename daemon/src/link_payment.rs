//! What crosses a link between regions spends its bytes: requests before they are sent, answers
//! before they go back.

use std::time::Duration;

use http::Response;
use http_body::Body;
use laburnumdeal_model::InstanceId;
use laburnumdeal_policy::{CapExceeded, CapKey};
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::prepared::HEAD_BYTES;
use crate::served::Served;
use crate::state::State;

/// Returns the answer once its bytes fit on the link to the instance that asked, or that the
/// outcome is unknown when they do not before the deadline. An answer that does not say how long
/// it is spends only its head.
pub async fn pay(
    state: &State,
    to: InstanceId,
    answer: Response<AnswerBody>,
    deadline: Instant,
) -> Response<AnswerBody> {
    let Some(link) = link_to(state, to) else {
        return answer;
    };
    let bytes = HEAD_BYTES + answer.body().size_hint().exact().unwrap_or(0);
    match spend(state, link, bytes, deadline).await {
        Ok(()) => answer,
        Err(over) => {
            let reason = format!("the answer does not fit on the link: {over}");
            Served::unknown(reason).into_response()
        }
    }
}

/// Spends bytes of a link piece by piece, and returns when the last one fits.
///
/// # Errors
///
/// Returns the link that is used up when the rest does not fit before the deadline.
pub async fn spend(
    state: &State,
    link: CapKey,
    mut bytes: u64,
    deadline: Instant,
) -> Result<(), CapExceeded> {
    while bytes > 0 {
        match state.shares.spend_part(link, bytes, Instant::now()) {
            Ok(spent) => bytes -= spent.min(bytes),
            Err(over) => {
                let until = Instant::now() + Duration::from_millis(over.retry_after_ms.max(1));
                if until >= deadline {
                    return Err(over);
                }
                tokio::time::sleep_until(until).await;
            }
        }
    }
    Ok(())
}

fn link_to(state: &State, to: InstanceId) -> Option<CapKey> {
    let from_region = state.topology.region_of(state.my_zone);
    let to_region = state.topology.region_of(state.topology.instance(to).zone);
    let mut links = state.topology.links.iter();
    links
        .any(|link| (link.from, link.to) == (from_region, to_region))
        .then_some(CapKey::Link(from_region, to_region))
}
