use std::sync::Arc;

use laburnumdeal_control::{ControlReply, ControlRequest};
use laburnumdeal_model::{Applied, BootId, Configuration, Digest, Version};
use laburnumdeal_policy::{
    BareSync, CapKey, ClaimRecord, FenceReply, Grant, GrantReturn, HandOver, MirrorReply,
    StoredAnswer, UpstreamHandOver,
};
use serde::{Deserialize, Serialize};

use crate::beat::Beat;
use crate::trace::Trace;

/// Message from one instance to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Heartbeat; the reply is one too.
    Beat(Box<Beat>),
    /// Message between replicas of the change log.
    Control(ControlRequest),
    /// Asks for what changed in the configuration since a version.
    Pull {
        /// Version in force at the sender; `None` when it has no configuration.
        have: Option<Version>,
    },
    /// Claims a key on the mirror.
    MirrorClaim {
        /// Key as the caller gave it.
        key: String,
        /// Hash of the request.
        fingerprint: u64,
        /// Run of the home.
        home_boot: BootId,
    },
    /// Fences a key, or asks what became of it.
    Fence {
        /// Key as the caller gave it.
        key: String,
        /// Hash of the request.
        fingerprint: u64,
    },
    /// Tells the mirror the answer of a finished request.
    StoreAnswer {
        /// Key as the caller gave it.
        key: String,
        /// Answer for resends.
        answer: StoredAnswer,
    },
    /// Tells the mirror that the home abandoned a claim before it started.
    StoreFence {
        /// Key as the caller gave it.
        key: String,
        /// Run of the home.
        home_boot: BootId,
    },
    /// Hands claims over on a planned stop.
    HandOverClaims(Box<HandOver>),
    /// Hands upstreams over on a planned stop.
    HandOverUpstreams(Vec<UpstreamHandOver>),
    /// Asks a partner for the claims without a token that it shares with the sender.
    SyncClaims {
        /// Run of the sender.
        boot: BootId,
    },
    /// Hands the claims without a token that the receiver shares over, on a planned stop.
    HandOverBare {
        /// Run of the sender.
        boot: BootId,
        /// Every record.
        records: Vec<ClaimRecord>,
    },
    /// Asks for a part of a share.
    Borrow {
        /// Cap that the share is of.
        key: CapKey,
        /// Amount that is wanted.
        amount_per_s: u64,
    },
    /// Gives a part of a share back.
    GiveBack(GrantReturn),
    /// Asks for the decisions about a past request.
    Explain {
        /// Identity of the request.
        request_id: String,
    },
}

/// Reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Reply to [`PeerRequest::Beat`].
    Beat(Box<Beat>),
    /// Reply to [`PeerRequest::Control`].
    Control(ControlReply),
    /// Changes since the version that was asked about, and the hash they lead to.
    Changes {
        /// Accepted changes in order.
        changes: Vec<Applied>,
        /// Hash of the configuration after them.
        digest: Digest,
    },
    /// The whole configuration.
    Whole(Arc<Configuration>),
    /// Reply to [`PeerRequest::MirrorClaim`].
    Mirror(MirrorReply),
    /// Reply to [`PeerRequest::Fence`].
    Fence(FenceReply),
    /// Reply to [`PeerRequest::SyncClaims`]; `None` when the partner does not know them all.
    Claims(Option<BareSync>),
    /// Reply to [`PeerRequest::Borrow`].
    Granted(Option<Grant>),
    /// Reply to [`PeerRequest::Explain`].
    Trace(Option<Trace>),
    /// The message was taken.
    Done,
    /// The receiver cannot answer.
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
