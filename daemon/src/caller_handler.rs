use std::net::SocketAddr;
use std::sync::Arc;

use crate::incoming_body::IncomingBody;
use http::{Request, Response};

use crate::answer_body::AnswerBody;
use crate::http_server::HttpHandler;
use crate::lookup_handler::{LOOKUP_PATH, handle_lookup};
use crate::request_error::RequestError;
use crate::request_handler::{handle_request, rejection_response};
use crate::role::Role;
use crate::state::State;

/// Prefix of the paths that are reserved for this system.
const RESERVED_PATHS: &str = "/laburnum/";

/// HTTP handler for callers: look-ups and requests.
pub struct CallerHandler {
    state: Arc<State>,
}

impl CallerHandler {
    /// Creates the handler for callers of an instance.
    pub fn new(state: Arc<State>) -> Self {
        Self { state }
    }
}

impl HttpHandler for CallerHandler {
    async fn handle(
        &self,
        request: Request<IncomingBody>,
        peer: SocketAddr,
    ) -> Response<AnswerBody> {
        let path = request.uri().path();
        if path == LOOKUP_PATH {
            handle_lookup(&self.state, &request, peer.ip())
                .unwrap_or_else(|error| rejection_response(&error))
        } else if path.starts_with(RESERVED_PATHS) {
            rejection_response(&RequestError::NoSuchPath {
                path: path.to_owned(),
            })
        } else {
            handle_request(&self.state, request, peer.ip(), Role::Entry).await
        }
    }

    fn is_closing(&self) -> bool {
        self.state.is_leaving()
    }
}
