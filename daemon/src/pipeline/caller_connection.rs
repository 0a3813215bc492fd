use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll};
use std::time::Duration;

use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep_until};

use crate::answer_body::AnswerBody;
use crate::http_server::HttpHandler;
use crate::incoming_body::IncomingBody;
use crate::pipeline::arrived_at::ArrivedAt;
use crate::pipeline::read_ahead_io::ReadAheadIo;
use crate::pipeline::requests_ahead::RequestsAhead;

/// Most requests of all connections of a server that run before their turn. It bounds the memory of
/// answers that are held back.
pub(crate) const MAX_STARTED_AHEAD: usize = 64;

/// Timeout for reading the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size of the head of a request.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time from the opening of a connection for which a planned stop waits for its first request, which
/// may be on its way.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// Connection of a caller.
pub(crate) struct CallerConnection<H> {
    handler: Arc<H>,
    peer: SocketAddr,
    io: ReadAheadIo,
    ahead: Arc<Mutex<RequestsAhead>>,
    opened_at: Instant,
}

// Derived, it would ask for a handler that can be cloned.
impl<H> Clone for CallerConnection<H> {
    fn clone(&self) -> Self {
        Self {
            handler: self.handler.clone(),
            peer: self.peer,
            io: self.io.clone(),
            ahead: self.ahead.clone(),
            opened_at: self.opened_at,
        }
    }
}

impl<H: HttpHandler> CallerConnection<H> {
    /// Wraps a connection that was just accepted. `permits` bounds the requests that run before
    /// their turn.
    pub fn new(
        stream: TcpStream,
        peer: SocketAddr,
        handler: Arc<H>,
        permits: Arc<Semaphore>,
    ) -> Self {
        Self {
            handler,
            peer,
            io: ReadAheadIo::new(stream),
            ahead: Arc::new(Mutex::new(RequestsAhead::new(permits))),
            opened_at: Instant::now(),
        }
    }

    /// Serves the connection until it ends. After `stopping` it is closed once the requests that run
    /// have been answered.
    pub async fn serve(self, stopping: impl Future<Output = ()>) {
        let answering = self.clone();
        let service = service_fn(move |request| {
            let connection = answering.clone();
            async move { Ok::<_, Infallible>(connection.answer(request).await) }
        });
        let server = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(self.io.clone(), service);
        let first_request_wait = sleep_until(self.opened_at + FIRST_REQUEST_WAIT);
        tokio::pin!(server, stopping, first_request_wait);
        let mut is_shut_down = false;
        let serving = poll_fn(|cx| {
            loop {
                if !self.ahead().is_stopping() && stopping.as_mut().poll(cx).is_ready() {
                    self.ahead().stop();
                }
                if server.as_mut().poll(cx).is_ready() {
                    return Poll::Ready(());
                }
                if self.read_ahead(cx) {
                    continue;
                }
                if self.io.lock().has_ended() {
                    // The server does not notice this while it has bytes of further requests.
                    return Poll::Ready(());
                }
                let has_begun = self.ahead().turns() > 0;
                if is_shut_down
                    || !self.ahead().is_stopping()
                    || self.ahead().has_started()
                    || !(has_begun || first_request_wait.as_mut().poll(cx).is_ready())
                {
                    return Poll::Pending;
                }
                is_shut_down = true;
                server.as_mut().graceful_shutdown();
            }
        });
        serving.await;
    }

    /// Reads what the caller has sent and starts requests that wait for their turn; returns whether
    /// anything was read.
    fn read_ahead(&self, cx: &mut Context<'_>) -> bool {
        let mut read_ahead = self.io.lock();
        let has_read = read_ahead.fill(cx);
        if !has_read && !read_ahead.has_ended() {
            self.ahead()
                .start(&self.handler, self.peer, &mut read_ahead);
        }
        has_read
    }

    /// Answers the request whose turn has come.
    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let may_overtake =
            self.handler
                .may_run_ahead(request.method(), request.uri(), request.headers());
        let (index, started) = self.ahead().take_turn(&request, may_overtake);
        let arrived_at = self.io.lock().take_turn(index);
        let answer = match started {
            Some(started) => started.answer().await,
            None => None,
        };
        let mut response = match answer {
            Some(response) => response,
            None => {
                let mut request = request.map(IncomingBody::from);
                if let Some(arrived_at) = arrived_at {
                    request.extensions_mut().insert(ArrivedAt(arrived_at));
                }
                self.handler.handle(request, self.peer).await
            }
        };
        let is_closing = self.handler.is_closing() || self.ahead().is_stopping();
        if is_closing && !self.ahead().has_started() {
            let close = HeaderValue::from_static("close");
            response
                .headers_mut()
                .insert(http::header::CONNECTION, close);
        }
        response
    }

    fn ahead(&self) -> MutexGuard<'_, RequestsAhead> {
        self.ahead.lock().expect("no holder panics")
    }
}
