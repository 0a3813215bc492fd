use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::answer_body::AnswerBody;
use crate::daemon_error::DaemonError;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 4_096;

/// Time in which the head of a request must arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest head of a request.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Pause after accepting a connection failed, for example for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers the requests of one listener.
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers one request that came from `peer`.
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// Serves HTTP/1.1 on one address, a task for each connection. Dropping it breaks every
/// connection at once, as a crash does.
#[derive(Debug)]
pub struct HttpServer {
    stopping: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Listens on an address and returns the running server.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError::Bind`] when the address is not free.
    pub async fn bind<H: HttpHandler>(
        address: SocketAddr,
        handler: Arc<H>,
    ) -> Result<Self, DaemonError> {
        let listener = listen(address).map_err(|source| DaemonError::Bind { address, source })?;
        let stopping = watch::Sender::new(false);
        let task = tokio::spawn(accept(listener, handler, stopping.subscribe()));
        Ok(Self { stopping, task })
    }

    /// Stops accepting and returns once every exchange in progress has ended, or after `most`.
    pub async fn stop(&mut self, most: Duration) {
        self.stopping.send_replace(true);
        let _ = tokio::time::timeout(most, &mut self.task).await;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Returns once the server stops.
async fn stopped(stopping: &mut watch::Receiver<bool>) {
    let _ = stopping.wait_for(|stopping| *stopping).await;
}

async fn accept<H: HttpHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    mut stopping: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    let each = stopping.clone();
    loop {
        tokio::select! {
            () = stopped(&mut stopping) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    connections.spawn(serve(stream, peer, handler.clone(), each.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve<H: HttpHandler>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: Arc<H>,
    mut stopping: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request, peer).await) }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stopped(&mut stopping) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
