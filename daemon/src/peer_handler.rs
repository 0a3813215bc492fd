use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::incoming_body::IncomingBody;
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use laburnumdeal_control::{ControlReply, ControlRequest};
use laburnumdeal_model::{InstanceId, Version};
use laburnumdeal_policy::RequestKey;
use slog::warn;
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::fault_points::FaultPoint;
use crate::final_outcome::text_response;
use crate::header;
use crate::heartbeat;
use crate::heartbeat_message::HeartbeatMessage;
use crate::http_server::HttpHandler;
use crate::link_throttle;
use crate::ownership_task::ReceivedHandOvers;
use crate::peer_client::{MAX_MESSAGE_BYTES, MESSAGE_PATH};
use crate::peer_message::{PeerReply, PeerRequest};
use crate::request_handler::handle_request;
use crate::role::Role;
use crate::state::State;

/// HTTP handler for other instances: messages and forwarded requests.
pub struct PeerHandler {
    state: Arc<State>,
    hand_overs: ReceivedHandOvers,
}

impl PeerHandler {
    /// Creates the handler for peers of an instance.
    pub fn new(state: Arc<State>, hand_overs: ReceivedHandOvers) -> Self {
        Self { state, hand_overs }
    }

    /// Returns the instance that sent a request, if the request proves its identity.
    fn authenticate(&self, headers: &HeaderMap) -> Option<InstanceId> {
        let from = header::text(headers, &header::PEER)?;
        let proof = header::text(headers, &header::PROOF)?;
        let own_name = &self.state.topology.instance(self.state.own_id).name;
        if !self.state.proof.verify(from, own_name, proof) {
            return None;
        }
        self.state.topology.instance_named(from)
    }

    async fn handle_message(
        &self,
        from: InstanceId,
        request: Request<IncomingBody>,
    ) -> Response<AnswerBody> {
        let body = match Limited::new(request.into_body(), MAX_MESSAGE_BYTES)
            .collect()
            .await
        {
            Ok(collected) => collected.to_bytes(),
            Err(_) => return text_response(StatusCode::BAD_REQUEST, "body broke off\n", "body"),
        };
        let message = match rmp_serde::from_slice::<PeerRequest>(&body) {
            Ok(message) => message,
            Err(error) => {
                let text = format!("message is of no known kind: {error}\n");
                return text_response(StatusCode::BAD_REQUEST, &text, "message");
            }
        };
        let reply = self.reply_to(from, message).await;
        let bytes = rmp_serde::to_vec_named(&reply).expect("replies are plain data");
        Response::new(AnswerBody::whole(Bytes::from(bytes)))
    }

    async fn reply_to(&self, from: InstanceId, message: PeerRequest) -> PeerReply {
        let state = &self.state;
        match message {
            PeerRequest::Beat(message) => self.receive_heartbeat(from, *message),
            PeerRequest::Control(request) => self.handle_control(from, request).await,
            PeerRequest::Pull { have } => self.configuration_since(have),
            PeerRequest::MirrorClaim {
                key,
                fingerprint,
                home_boot,
            } => {
                state.fault_points.pause_at(FaultPoint::MirrorAsked).await;
                let reply = self.with_key(&key, |key| {
                    let claims = &state.claims;
                    PeerReply::Mirror(claims.mirror_claim(key, fingerprint, from, home_boot))
                });
                state.fault_points.pause_at(FaultPoint::MirrorClaimed).await;
                reply
            }
            PeerRequest::Fence { key, fingerprint } => self.with_key(&key, |key| {
                PeerReply::Fence(state.claims.fence(key, fingerprint))
            }),
            PeerRequest::StoreAnswer { key, answer } => self.with_key(&key, |key| {
                state.claims.store_answer(key, answer);
                PeerReply::Done
            }),
            PeerRequest::StoreFence { key, home_boot } => self.with_key(&key, |key| {
                state.claims.store_fence(key, from, home_boot);
                PeerReply::Done
            }),
            PeerRequest::HandOverClaims(message) => {
                state.claims.import(*message);
                PeerReply::Done
            }
            PeerRequest::HandOverUpstreams(list) => {
                self.hand_overs.add(from, list);
                PeerReply::Done
            }
            PeerRequest::SyncClaims { boot } => {
                PeerReply::Claims(state.claims.sync_records(from, boot))
            }
            PeerRequest::HandOverBare { boot, records } => {
                state.claims.import_tokenless(from, boot, records);
                PeerReply::Done
            }
            PeerRequest::Borrow { key, amount_per_s } => {
                PeerReply::Granted(state.shares.lend(key, from, amount_per_s, Instant::now()))
            }
            PeerRequest::GiveBack(message) => {
                state.shares.reclaim(&message, Instant::now());
                PeerReply::Done
            }
            PeerRequest::Explain { request_id } => PeerReply::Trace(state.traces.find(&request_id)),
        }
    }

    fn receive_heartbeat(&self, from: InstanceId, message: HeartbeatMessage) -> PeerReply {
        if message.topology != self.state.topology.digest {
            let name = &self.state.topology.instance(from).name;
            warn!(self.state.log, "peer has a different topology"; "peer" => name);
            let reason = "the topology of the settings differs".to_owned();
            return PeerReply::Failed { reason };
        }
        heartbeat::receive(&self.state, from, message);
        PeerReply::Beat(Box::new(heartbeat::message_for(&self.state, from)))
    }

    async fn handle_control(&self, from: InstanceId, request: ControlRequest) -> PeerReply {
        match &self.state.replica {
            Some(replica) => PeerReply::Control(replica.handle(from, request).await),
            None => PeerReply::Control(ControlReply::Failed),
        }
    }

    /// Returns the changes since a version if the change log still has them, and the whole
    /// configuration otherwise.
    fn configuration_since(&self, have: Option<Version>) -> PeerReply {
        let Some(active) = self.state.configuration.active() else {
            return PeerReply::Failed {
                reason: "no configuration yet".to_owned(),
            };
        };
        let version = active.configuration.version;
        let changes = have
            .and_then(|have| self.state.replica.as_ref()?.changes_since(have))
            .filter(|changes| ends_at_version(changes, version));
        match changes {
            Some(changes) => PeerReply::Changes {
                changes,
                digest: active.digest,
            },
            None => PeerReply::Whole(active.configuration.clone()),
        }
    }

    fn with_key(&self, text: &str, apply: impl FnOnce(&RequestKey) -> PeerReply) -> PeerReply {
        match RequestKey::parse(text, &self.state.sealer) {
            Ok(key) => apply(&key),
            Err(error) => PeerReply::Failed {
                reason: error.to_string(),
            },
        }
    }
}

/// Returns the deadline that the sender of a forwarded request set.
fn forwarded_deadline(headers: &HeaderMap) -> Instant {
    let millis = header::text(headers, &header::DEADLINE_MS).and_then(|text| text.parse().ok());
    Instant::now() + Duration::from_millis(millis.unwrap_or(0))
}

/// Returns whether the last accepted change is the one that led to `version`.
fn ends_at_version(changes: &[laburnumdeal_model::AuditRecord], version: Version) -> bool {
    use laburnumdeal_model::Verdict;
    let mut accepted = changes
        .iter()
        .rev()
        .filter_map(|change| match change.verdict {
            Verdict::Accepted { version } => Some(version),
            _ => None,
        });
    accepted.next() == Some(version)
}

impl HttpHandler for PeerHandler {
    async fn handle(
        &self,
        request: Request<IncomingBody>,
        peer: SocketAddr,
    ) -> Response<AnswerBody> {
        let Some(from) = self.authenticate(request.headers()) else {
            warn!(self.state.log, "refused a request without valid peer proof";
                "address" => peer.to_string());
            let text = "the sender does not prove that it has the same secret and topology\n";
            return text_response(StatusCode::UNAUTHORIZED, text, "peer proof");
        };
        if request.uri().path() == MESSAGE_PATH {
            return self.handle_message(from, request).await;
        }
        let role = header::text(request.headers(), &header::ROLE).and_then(|r| r.parse().ok());
        let caller = header::text(request.headers(), &header::CALLER)
            .and_then(|text| text.parse().ok())
            .unwrap_or(peer.ip());
        match role {
            Some(Role::Entry) | None => {
                let text = "a forwarded request names no role; expected home, zone or owner\n";
                text_response(StatusCode::BAD_REQUEST, text, "role")
            }
            Some(role) => {
                let deadline = forwarded_deadline(request.headers());
                let answer = handle_request(&self.state, request, caller, role).await;
                link_throttle::throttle_answer(&self.state, from, answer, deadline).await
            }
        }
    }
}
