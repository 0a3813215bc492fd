use std::net::SocketAddr;
use std::sync::Arc;

use laburnumdeal_language::{COMMAND_PATH, ErrorReply, OperatorReply, OperatorRequest};
use salvo::conn::tcp::TcpAcceptor;
use salvo::conn::{Listener, TcpListener};
use salvo::http::{HeaderValue, StatusCode, header};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, Server, async_trait};

use crate::command_runner;
use crate::daemon_error::DaemonError;
use crate::readiness::Readiness;
use crate::state::State;

/// Maximum size of the body of an operator's request.
const MAX_REQUEST_BYTES: usize = 1024 * 1024;

/// HTTP server for operators' commands, health, readiness and metrics. Dropping it stops it.
pub struct OperatorServer {
    task: tokio::task::JoinHandle<()>,
}

impl OperatorServer {
    /// Listens on an address and returns the running server.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError::Bind`] when the address cannot be listened on.
    pub async fn bind(address: SocketAddr, state: Arc<State>) -> Result<Self, DaemonError> {
        let acceptor: TcpAcceptor =
            TcpListener::new(address)
                .try_bind()
                .await
                .map_err(|error| DaemonError::Bind {
                    address,
                    source: std::io::Error::other(error),
                })?;
        let task = tokio::spawn(Server::new(acceptor).serve(router(state)));
        Ok(Self { task })
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn router(state: Arc<State>) -> Router {
    let route = |path: &str, page: Page| {
        let router = Router::with_path(path.trim_start_matches('/'));
        let handler = PageHandler {
            state: state.clone(),
            page,
        };
        match page {
            Page::Command => router.post(handler),
            Page::Health | Page::Ready | Page::Metrics => router.get(handler),
        }
    };
    Router::new()
        .push(route(COMMAND_PATH, Page::Command))
        .push(route("health", Page::Health))
        .push(route("ready", Page::Ready))
        .push(route("metrics", Page::Metrics))
}

#[derive(Clone, Copy, Debug)]
enum Page {
    Command,
    Health,
    Ready,
    Metrics,
}

struct PageHandler {
    state: Arc<State>,
    page: Page,
}

#[async_trait]
impl Handler for PageHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        match self.page {
            Page::Command => self.command(request, response).await,
            Page::Health => response.render("live\n"),
            Page::Ready => self.ready(response),
            Page::Metrics => self.metrics(response),
        }
    }
}

impl PageHandler {
    async fn command(&self, request: &mut Request, response: &mut Response) {
        let authorization = request
            .headers()
            .get(header::AUTHORIZATION)
            .and_then(|value| value.to_str().ok());
        let Some(operator) = self.state.operators.authenticate(authorization) else {
            let message = "no operator has this token; expected 'Authorization: Bearer TOKEN'";
            return reply(
                response,
                StatusCode::UNAUTHORIZED,
                &ErrorReply::new(message).into(),
            );
        };
        match read_request(request).await {
            Ok(operator_request) => {
                let operator_reply =
                    command_runner::run(&self.state, &operator, operator_request).await;
                reply(response, status_of(&operator_reply), &operator_reply);
            }
            Err(error) => reply(response, StatusCode::BAD_REQUEST, &error.into()),
        }
    }

    fn ready(&self, response: &mut Response) {
        let readiness = Readiness::of(&self.state);
        if !readiness.accepts_requests() {
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        }
        response.render(format!("{readiness}\n"));
    }

    fn metrics(&self, response: &mut Response) {
        self.state.refresh_gauges();
        let content = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        response
            .headers_mut()
            .insert(header::CONTENT_TYPE, HeaderValue::from_static(content));
        let _ = response.write_body(self.state.metrics.render());
    }
}

async fn read_request(request: &mut Request) -> Result<OperatorRequest, ErrorReply> {
    let payload = request
        .payload_with_max_size(MAX_REQUEST_BYTES)
        .await
        .map_err(|error| ErrorReply::new(format!("request body: {error}")))?;
    serde_json::from_slice(payload)
        .map_err(|error| ErrorReply::new(format!("request body is no operator request: {error}")))
}

fn status_of(reply: &OperatorReply) -> StatusCode {
    match reply {
        OperatorReply::Table(_) | OperatorReply::Verdict(_) | OperatorReply::Audit { .. } => {
            StatusCode::OK
        }
        OperatorReply::Error(_) => StatusCode::BAD_REQUEST,
        OperatorReply::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
        OperatorReply::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}

fn reply(response: &mut Response, status: StatusCode, reply: &OperatorReply) {
    response.status_code(status);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    let body = serde_json::to_vec(reply).expect("replies are plain data");
    let _ = response.write_body(body);
}
