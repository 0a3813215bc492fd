use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use crate::incoming_body::IncomingBody;
use http::{HeaderValue, Request, Response, StatusCode};

use crate::answer_body::AnswerBody;
use crate::header;
use crate::http_server::HttpHandler;
use crate::roles::entry_state::EntryState;
use crate::roles::forward_handler::{ForwardHandler, NotRun};
use crate::roles::forwarding::Origin;
use crate::roles::helper_request::{BEHIND, CANNOT_FORWARD};
use crate::roles::{HeaderCodec, PresenceState};

/// Reason for not forwarding a request whose sender has a newer configuration.
const OLDER_CONFIGURATION: &str = "older configuration";

/// Reason for not forwarding a request while this instance has lost the upstreams, too.
const NO_UPSTREAM: &str = "no upstream can be reached";

/// Forwards requests of other entry instances that have lost the upstreams. Such a request goes to
/// upstreams only, not on to a further instance.
pub(super) struct HelperHandler<H> {
    state: Arc<EntryState>,
    forward: Arc<ForwardHandler<H>>,
}

impl<H: HeaderCodec> HelperHandler<H> {
    pub fn new(state: Arc<EntryState>, forward: Arc<ForwardHandler<H>>) -> Self {
        Self { state, forward }
    }

    /// Returns why this instance does not forward a request; `Ok` is the address of its caller.
    fn check(
        &self,
        request: &Request<IncomingBody>,
        peer: SocketAddr,
    ) -> Result<IpAddr, &'static str> {
        if !self.state.helpers().is_known(peer.ip()) {
            return Err("not from an entry instance");
        }
        let caller = header::text(request.headers(), &header::CALLER);
        let caller = caller.and_then(|text| text.parse().ok());
        let caller = caller.ok_or("no address of a caller")?;
        if self.state.presence() != PresenceState::Ready {
            return Err("not ready");
        }
        if self.state.reach().is_lost() {
            return Err(NO_UPSTREAM);
        }
        let known = header::text(request.headers(), &header::CONFIGURATION);
        let known = known.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let active = self.state.active().configuration;
        if active.is_none_or(|configuration| configuration.version.0 < known) {
            return Err(OLDER_CONFIGURATION);
        }
        Ok(caller)
    }
}

impl<H: HeaderCodec> HttpHandler for HelperHandler<H> {
    async fn handle(
        &self,
        mut request: Request<IncomingBody>,
        peer: SocketAddr,
    ) -> Response<AnswerBody> {
        let caller = match self.check(&request, peer) {
            Ok(caller) => caller,
            Err(reason) => {
                self.state.metrics.count_help_refused(reason);
                return match reason {
                    OLDER_CONFIGURATION => refusal(BEHIND, reason),
                    _ => refusal(CANNOT_FORWARD, reason),
                };
            }
        };
        let has_checked = request.headers().contains_key(header::CUSTOMER_CHECKED);
        for name in [
            header::CALLER,
            header::CONFIGURATION,
            header::CUSTOMER_CHECKED,
        ] {
            request.headers_mut().remove(name);
        }
        let origin = Origin::Instance { has_checked };
        let mut response = self.forward.answer_with_id(request, caller, origin).await;
        let did_not_run = response.extensions().get::<NotRun>().is_some();
        if did_not_run && self.state.reach().is_lost() {
            return refusal(CANNOT_FORWARD, NO_UPSTREAM);
        }
        let outcome = HeaderValue::from_static("answer");
        response.headers_mut().insert(header::OUTCOME, outcome);
        response
    }
}

fn refusal(outcome: &'static str, reason: &str) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(format!("{reason}\n")));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let outcome = HeaderValue::from_static(outcome);
    response.headers_mut().insert(header::OUTCOME, outcome);
    response
}
