use std::time::Duration;

use laburnumdeal_model::Version;
use laburnumdeal_policy::steer::{CrashReport, InstanceRecord};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::roles::UpstreamList;
use crate::roles::configuration_update::ConfigurationUpdate;
use crate::roles::control_record::ControlRecord;
use crate::roles::crash_exchange::CrashPosition;
use crate::roles::list_update::ListUpdate;

/// Updates to the state that the sender of a [`FollowRequest`] knows.
///
/// [`FollowRequest`]: crate::roles::follow_message::FollowRequest
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowReply {
    /// Whether the replica has a leader; without one it may be partitioned from the others.
    pub is_led: bool,
    /// Newest version of the configuration.
    pub version: Version,
    /// Update of the configuration.
    pub configuration: ConfigurationUpdate,
    /// Age of the newest list of upstreams; `None` if it was never read.
    pub list_age_ms: Option<u64>,
    /// Hash of the newest list of upstreams.
    #[serde(rename = "list_mark")]
    pub list_hash: u64,
    /// Update of the list of upstreams.
    pub list: ListUpdate,
    /// Hash of the names of the entry instances, and the instances; `None` if the sender knows the
    /// hash, or some of them may not have announced themselves yet.
    pub roster: Option<(u64, Vec<InstanceRecord>)>,
    /// Members of the change log, which are the control instances.
    pub controls: Vec<ControlRecord>,
    /// Position in the crash reports after this reply.
    pub crash_position: CrashPosition,
    /// Crash reports after the position of the sender.
    pub crashes: Vec<CrashReport>,
}

impl FollowReply {
    /// Returns when the list of upstreams was read; `None` if it never was.
    pub fn list_read_at(&self, now: Instant) -> Option<Instant> {
        let age = Duration::from_millis(self.list_age_ms?);
        Some(now.checked_sub(age).unwrap_or(now))
    }

    /// Returns the list of upstreams after this reply. Returns `None` if the reply has no list, or
    /// if its changes apply to another list than the current one.
    pub fn list(&self, current: &UpstreamList, now: Instant) -> Option<UpstreamList> {
        let read_at = self.list_read_at(now)?;
        match &self.list {
            ListUpdate::Whole(records) => Some(UpstreamList::new(records.clone(), read_at)),
            ListUpdate::Changes(changes) => changes.apply_to(current, read_at),
            ListUpdate::HashOnly => (self.list_hash == current.hash).then(|| UpstreamList {
                read_at: Some(read_at),
                ..current.clone()
            }),
        }
    }
}
