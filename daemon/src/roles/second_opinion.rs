//! Asks control instances whether they can connect to an upstream, since a link of this instance that
//! is cut looks like an upstream that ended.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::roles::entry_state::EntryState;
use crate::roles::follow_message::{Call, Reply};

/// Timeout of a message; a check that gets no reply goes on without it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns whether a control instance can connect to an upstream, by the first reply of those that
/// are followed; `None` if none of them replies.
pub(super) async fn can_others_connect(state: &EntryState, upstream: SocketAddr) -> Option<bool> {
    let call = Call::Probe(upstream);
    let controls = state.followed_controls().into_iter();
    let mut replies: FuturesUnordered<_> = controls
        .map(|control| state.client.call(control, &call, REPLY_TIMEOUT))
        .collect();
    while let Some(reply) = replies.next().await {
        // An instance that is lost, or does not list the upstream, tells nothing.
        if let Ok(Reply::Probe(Some(can_connect))) = reply {
            return Some(can_connect);
        }
    }
    None
}
