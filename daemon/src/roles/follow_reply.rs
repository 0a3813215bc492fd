use std::time::Duration;

use laburnumdeal_model::Version;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::roles::UpstreamList;
use crate::roles::configuration_update::ConfigurationUpdate;
use crate::roles::control_record::ControlRecord;
use crate::roles::crash_reports::CrashReport;
use crate::roles::list_update::ListUpdate;

/// What is newer than what the sender of a [`FollowRequest`] knows.
///
/// [`FollowRequest`]: crate::roles::follow_message::FollowRequest
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowReply {
    /// Whether the replica hears a leader; otherwise it may be cut off.
    pub is_led: bool,
    /// Newest version of the configuration.
    pub version: Version,
    /// Newer configuration.
    pub configuration: ConfigurationUpdate,
    /// Age of the list of upstreams; `None` when it was never read.
    pub list_age_ms: Option<u64>,
    /// Hash of the list of upstreams.
    #[serde(rename = "list_mark")]
    pub list_hash: u64,
    /// Newer list of upstreams.
    pub list: ListUpdate,
    /// Hash and names of the entry instances, unless the hash was known.
    pub roster: Option<(u64, Vec<String>)>,
    /// Control instances.
    pub controls: Vec<ControlRecord>,
    /// Crashes of late.
    pub crashes: Vec<CrashReport>,
}

impl FollowReply {
    /// Returns when the list of upstreams was read; `None` when it never was.
    pub fn list_read_at(&self, now: Instant) -> Option<Instant> {
        let age = Duration::from_millis(self.list_age_ms?);
        Some(now.checked_sub(age).unwrap_or(now))
    }

    /// Returns the list of upstreams after this reply; `None` when it tells none, or changes of
    /// another list than the one held.
    pub fn list(&self, held: &UpstreamList, now: Instant) -> Option<UpstreamList> {
        let read_at = self.list_read_at(now)?;
        match &self.list {
            ListUpdate::Whole(records) => Some(UpstreamList::new(records.clone(), read_at)),
            ListUpdate::Changes(changes) => changes.apply_to(held, read_at),
            ListUpdate::HashOnly => (self.list_hash == held.hash).then(|| UpstreamList {
                read_at: Some(read_at),
                ..held.clone()
            }),
        }
    }
}
