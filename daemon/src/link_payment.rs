//! Answers that go back to another region spend the bytes of the link that they cross.

use std::time::Duration;

use http::Response;
use http_body::Body;
use laburnumdeal_model::InstanceId;
use laburnumdeal_policy::CapKey;
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
    let mut bytes = HEAD_BYTES + answer.body().size_hint().exact().unwrap_or(0);
    while bytes > 0 {
        match state.shares.spend_part(link, bytes, Instant::now()) {
            Ok(spent) => bytes -= spent.min(bytes),
            Err(over) => {
                let until = Instant::now() + Duration::from_millis(over.retry_after_ms.max(1));
                if until >= deadline {
                    let reason = format!("the answer does not fit on the link: {over}");
                    return Served::unknown(reason).into_response();
                }
                tokio::time::sleep_until(until).await;
            }
        }
    }
    answer
}

fn link_to(state: &State, to: InstanceId) -> Option<CapKey> {
    let from_region = state.topology.region_of(state.my_zone);
    let to_region = state.topology.region_of(state.topology.instance(to).zone);
    let mut links = state.topology.links.iter();
    links
        .any(|link| (link.from, link.to) == (from_region, to_region))
        .then_some(CapKey::Link(from_region, to_region))
}
