use std::net::SocketAddr;

use laburnumdeal_control::{ControlReply, ControlRequest};
use laburnumdeal_model::Version;
use laburnumdeal_policy::steer::{CrashReport, SharedReport, SharedSpeed};
use serde::{Deserialize, Serialize};

use crate::roles::crash_exchange::CrashPosition;
use crate::roles::customer_message::{CustomerReply, CustomerRequest};
use crate::roles::follow_reply::FollowReply;
use crate::roles::speed_message::SpeedRequest;

/// Message to a control instance.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Call {
    /// Request from another replica of the change log.
    Control {
        /// Name of the sender.
        from: String,
        /// The request.
        request: ControlRequest,
    },
    /// Long poll for updates to the state that the sender knows.
    Follow(FollowRequest),
    /// Exchange of reports on upstreams between entry instances.
    #[serde(rename = "News")]
    Report(ReportRequest),
    /// New crash reports, ahead of the next poll.
    Crashes {
        /// The reports.
        reports: Vec<CrashReport>,
        /// Whether a control instance sends them, which has them from an entry instance.
        is_relayed: bool,
    },
    /// Question whether the receiver can connect to the upstream with an address.
    Probe(SocketAddr),
    /// Question on customers for the leader of the change log.
    Customers(CustomerRequest),
    /// Exchange of the speed of upstreams between entry instances.
    Speeds(SpeedRequest),
}

/// Reply to a [`Call`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// Reply of a replica.
    Control(ControlReply),
    /// Updates.
    Follow(Box<FollowReply>),
    /// Combined report of entry instances on upstreams, which may include the sender's own.
    #[serde(rename = "News")]
    Report(SharedReport),
    /// Crash reports were received.
    Crashes,
    /// Whether the upstream can be connected to; `None` if it is not listed.
    Probe(Option<bool>),
    /// Answer of the leader; `None` if none with a valid lease was reached.
    Customers(Option<CustomerReply>),
    /// Speeds that changed, the sender's own report included.
    Speeds(Vec<SharedSpeed>),
}

/// Report of an entry instance on upstreams, and request for the reports of others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReportRequest {
    /// What upstreams reported to the sender since its last message.
    #[serde(rename = "news")]
    pub report: SharedReport,
    /// Only reports that the control instance received within this time are requested.
    pub window_ms: u64,
}

/// Long poll for updates, with the state that the sender knows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FollowRequest {
    /// Version of the sender's configuration; `None` for a sender that needs no configuration.
    pub version: Option<Version>,
    /// Hash of the sender's list of upstreams.
    #[serde(rename = "list_mark")]
    pub list_hash: u64,
    /// Age of the sender's list of upstreams; `None` if it has none.
    pub list_age_ms: Option<u64>,
    /// Hash of the names of the entry instances; 0 for a sender that does not know them.
    #[serde(rename = "roster_mark")]
    pub roster_hash: u64,
    /// Whether the reply should contain the updates, or only the newest version and hashes.
    pub contents: bool,
    /// Position up to which the sender knows the crash reports of the receiver.
    pub crash_position: CrashPosition,
    /// Crash reports that the receiver may not know.
    pub crashes: Vec<CrashReport>,
    /// Longest time to wait for an update.
    pub wait_ms: u64,
}
