use std::sync::Arc;

use laburnumdeal_control::{ControlReply, ControlRequest};
use laburnumdeal_model::{AuditRecord, BootId, Configuration, Digest, Version};
use laburnumdeal_policy::{
    CapKey, ClaimRecord, FenceReply, Grant, GrantReturn, HandOver, MirrorReply, StoredAnswer,
    TokenlessSync, UpstreamHandOver,
};
use serde::{Deserialize, Serialize};

use crate::heartbeat_message::HeartbeatMessage;
use crate::trace::Trace;

/// Message from one instance to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Heartbeat; the reply is the receiver's heartbeat.
    Beat(Box<HeartbeatMessage>),
    /// Message between replicas of the change log.
    Control(ControlRequest),
    /// Requests the configuration changes since a version.
    Pull {
        /// Version in force at the sender; `None` when it has no configuration.
        have: Option<Version>,
    },
    /// Claims a key on the mirror.
    MirrorClaim {
        /// Key as the caller sent it.
        key: String,
        /// Fingerprint of the request.
        fingerprint: u64,
        /// Boot id of the home.
        home_boot: BootId,
    },
    /// Fences a key, or requests the outcome of an earlier request with it.
    Fence {
        /// Key as the caller sent it.
        key: String,
        /// Fingerprint of the request.
        fingerprint: u64,
    },
    /// Sends the answer of a finished request to the mirror.
    StoreAnswer {
        /// Key as the caller sent it.
        key: String,
        /// Answer that is returned when the request is sent again.
        answer: StoredAnswer,
    },
    /// Tells the mirror that the request did not run and its key is fenced.
    StoreFence {
        /// Key as the caller sent it.
        key: String,
        /// Boot id of the home.
        home_boot: BootId,
    },
    /// Hands over claims on a planned stop.
    HandOverClaims(Box<HandOver>),
    /// Hands over upstreams on a planned stop.
    HandOverUpstreams(Vec<UpstreamHandOver>),
    /// Requests the claims without a token that the receiver shares with the sender.
    SyncClaims {
        /// Boot id of the sender.
        boot: BootId,
    },
    /// Hands over the claims without a token that the receiver shares with the sender, on a planned
    /// stop.
    HandOverBare {
        /// Boot id of the sender.
        boot: BootId,
        /// Records of the claims.
        records: Vec<ClaimRecord>,
    },
    /// Borrows a part of the receiver's share of a cap.
    Borrow {
        /// Cap to which the share belongs.
        key: CapKey,
        /// Requested amount.
        amount_per_s: u64,
    },
    /// Returns a borrowed part of a share.
    GiveBack(GrantReturn),
    /// Requests the trace of a past request.
    Explain {
        /// Id of the request.
        request_id: String,
    },
}

/// Reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Reply to [`PeerRequest::Beat`].
    Beat(Box<HeartbeatMessage>),
    /// Reply to [`PeerRequest::Control`].
    Control(ControlReply),
    /// Changes since the requested version, and the hash of the resulting configuration.
    Changes {
        /// Changes in order.
        changes: Vec<AuditRecord>,
        /// Hash of the configuration after the changes.
        digest: Digest,
    },
    /// The whole configuration.
    Whole(Arc<Configuration>),
    /// Reply to [`PeerRequest::MirrorClaim`].
    Mirror(MirrorReply),
    /// Reply to [`PeerRequest::Fence`].
    Fence(FenceReply),
    /// Reply to [`PeerRequest::SyncClaims`]; `None` when the replying instance does not know
    /// all of them.
    Claims(Option<TokenlessSync>),
    /// Reply to [`PeerRequest::Borrow`].
    Granted(Option<Grant>),
    /// Reply to [`PeerRequest::Explain`].
    Trace(Option<Trace>),
    /// The message was processed.
    Done,
    /// The receiver cannot process the message.
    Failed {
        /// Why not.
        reason: String,
    },
}

impl PeerRequest {
    /// Returns whether the message or its reply can be large.
    pub fn is_bulk(&self) -> bool {
        matches!(
            self,
            Self::Pull { .. }
                | Self::HandOverClaims(_)
                | Self::HandOverBare { .. }
                | Self::SyncClaims { .. }
                | Self::Control(ControlRequest::Snapshot { .. } | ControlRequest::Submit { .. })
        )
    }
}
