use laburnumdeal_control::{ControlReply, ControlRequest};
use laburnumdeal_model::Version;
use laburnumdeal_policy::steer::SharedReport;
use serde::{Deserialize, Serialize};

use crate::roles::crash_reports::CrashReport;
use crate::roles::follow_reply::FollowReply;

/// Message to a control instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Call {
    /// Request of another replica of the change log.
    Control {
        /// Name of the sender.
        from: String,
        /// The request.
        request: ControlRequest,
    },
    /// Asks for whatever is newer than what the sender knows.
    Follow(FollowRequest),
    /// Exchanges what entry instances hear of upstreams.
    News(NewsRequest),
}

/// Reply to a [`Call`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Reply of a replica.
    Control(ControlReply),
    /// What is newer.
    Follow(Box<FollowReply>),
    /// What other instances heard of upstreams.
    News(SharedReport),
}

/// What an entry instance heard of upstreams, and what it asks for.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NewsRequest {
    /// What the sender heard since its last message.
    pub news: SharedReport,
    /// How far back the news of others is asked for.
    pub window_ms: u64,
}

/// What an instance knows already.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Version of the configuration in force; `None` for a sender that needs none.
    pub version: Option<Version>,
    /// Hash of the list of upstreams.
    #[serde(rename = "list_mark")]
    pub list_hash: u64,
    /// Age of the list of upstreams; `None` when there is none.
    pub list_age_ms: Option<u64>,
    /// Hash of the list of entry instances.
    #[serde(rename = "roster_mark")]
    pub roster_hash: u64,
    /// Whether contents are wanted, or only the versions and hashes that tell whether there are any.
    pub contents: bool,
    /// Crashes that the receiver may not know.
    pub crashes: Vec<CrashReport>,
    /// Time to wait when there is nothing new.
    pub wait_ms: u64,
}
