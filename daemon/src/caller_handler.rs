use std::net::SocketAddr;
use std::sync::Arc;

use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;

use crate::answer_body::AnswerBody;
use crate::http_server::HttpHandler;
use crate::lookup_handler::{LOOKUP_PATH, look_up};
use crate::request_error::RequestError;
use crate::request_handler::{handle, rejection};
use crate::role::Role;
use crate::state::State;

/// Prefix of the paths that belong to this system.
const OWN_PATHS: &str = "/laburnum/";

/// Answers callers: look-ups and requests.
pub struct CallerHandler {
    state: Arc<State>,
}

impl CallerHandler {
    /// Returns a handler for the callers of an instance.
    pub fn new(state: Arc<State>) -> Self {
        Self { state }
    }
}

impl HttpHandler for CallerHandler {
    async fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<AnswerBody> {
        let path = request.uri().path();
        let mut response = if path == LOOKUP_PATH {
            look_up(&self.state, &request, peer.ip()).unwrap_or_else(|error| rejection(&error))
        } else if path.starts_with(OWN_PATHS) {
            rejection(&RequestError::NoSuchPath {
                path: path.to_owned(),
            })
        } else {
            handle(&self.state, request, peer.ip(), Role::Entry).await
        };
        if self.state.is_leaving() {
            let close = HeaderValue::from_static("close");
            response
                .headers_mut()
                .insert(http::header::CONNECTION, close);
        }
        response
    }
}
