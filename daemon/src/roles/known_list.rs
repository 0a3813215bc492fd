use std::time::Duration;

use tokio::time::Instant;

use crate::roles::UpstreamList;
use crate::roles::follow_message::FollowRequest;

/// Hash and read time of the list of upstreams that the sender of a long poll has.
#[derive(Clone, Copy)]
pub(super) struct KnownList {
    /// Hash of the list.
    pub hash: u64,
    read_at: Option<Instant>,
}

impl KnownList {
    /// Takes both from a request that arrived at `now`.
    pub fn new(request: &FollowRequest, now: Instant) -> Self {
        let age = request.list_age_ms.map(Duration::from_millis);
        Self {
            hash: request.list_hash,
            read_at: age.map(|age| now.checked_sub(age).unwrap_or(now)),
        }
    }

    /// Returns whether a list has other contents and was read later.
    pub fn is_outdated_by(self, list: &UpstreamList) -> bool {
        list.hash != self.hash && list.read_at > self.read_at
    }
}
