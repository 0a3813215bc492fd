use std::net::SocketAddr;
use std::sync::Arc;

use crate::incoming_body::IncomingBody;
use http::{Request, Response, StatusCode};

use crate::answer_body::AnswerBody;
use crate::daemon_error::DaemonError;
use crate::http_server::{HttpHandler, HttpServer};
use crate::roles::node_metrics::NodeMetrics;

/// Serves the same page on every path.
pub(super) struct PageHandler<F> {
    page: F,
}

impl<F> PageHandler<F>
where
    F: Fn() -> (StatusCode, String) + Send + Sync + 'static,
{
    /// Starts a server of the page.
    pub async fn bind(address: SocketAddr, page: F) -> Result<HttpServer, DaemonError> {
        HttpServer::bind(address, Arc::new(PageHandler { page })).await
    }
}

impl PageHandler<fn() -> (StatusCode, String)> {
    /// Starts a server of the metrics page.
    pub async fn metrics(
        address: SocketAddr,
        metrics: NodeMetrics,
    ) -> Result<HttpServer, DaemonError> {
        PageHandler::bind(address, move || (StatusCode::OK, metrics.render())).await
    }
}

impl<F> HttpHandler for PageHandler<F>
where
    F: Fn() -> (StatusCode, String) + Send + Sync + 'static,
{
    async fn handle(
        &self,
        _request: Request<IncomingBody>,
        _peer: SocketAddr,
    ) -> Response<AnswerBody> {
        let (status, text) = (self.page)();
        let mut response = Response::new(AnswerBody::whole(text));
        *response.status_mut() = status;
        response
    }
}
