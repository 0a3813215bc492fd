use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Method, Request, Response, Uri};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, timeout_at};

use crate::answer_body::AnswerBody;
use crate::daemon_error::DaemonError;
use crate::incoming_body::IncomingBody;
use crate::pipeline::{CallerConnection, MAX_STARTED_AHEAD};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 4_096;

/// Time for which a server that stops accepts the connections that callers have already opened.
const BACKLOG_WAIT: Duration = Duration::from_millis(20);

/// Delay after a failure to accept a connection, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handles the HTTP requests of one listener.
pub trait HttpHandler: Send + Sync + 'static {
    /// Handles one request that came from `peer`.
    fn handle(
        &self,
        request: Request<IncomingBody>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;

    /// Returns whether a request without a body may run before the answers to earlier requests of
    /// its connection are out. If the connection breaks before, it runs once more when its caller
    /// repeats it.
    fn may_run_ahead(&self, _method: &Method, _uri: &Uri, _headers: &HeaderMap) -> bool {
        false
    }

    /// Returns whether connections are to be closed after the answers to the requests that run.
    fn is_closing(&self) -> bool {
        false
    }
}

/// Serves HTTP/1.1 on one address with a task for each connection. Dropping it breaks every
/// connection immediately, as a crash would.
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
    /// Returns [`DaemonError::Bind`] when the address cannot be listened on.
    pub async fn bind<H: HttpHandler>(
        address: SocketAddr,
        handler: Arc<H>,
    ) -> Result<Self, DaemonError> {
        Self::bind_with_window(address, handler, None).await
    }

    /// Listens as [`Self::bind`] does. `window_bytes` is the length of the buffers of a connection,
    /// which bounds its bytes under way in both directions; `None` for the default of the system.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError::Bind`] when the address cannot be listened on.
    pub async fn bind_with_window<H: HttpHandler>(
        address: SocketAddr,
        handler: Arc<H>,
        window_bytes: Option<usize>,
    ) -> Result<Self, DaemonError> {
        let listener = listen(address, window_bytes)
            .map_err(|source| DaemonError::Bind { address, source })?;
        let stopping = watch::Sender::new(false);
        let task = tokio::spawn(accept(
            listener,
            handler,
            window_bytes,
            stopping.subscribe(),
        ));
        Ok(Self { stopping, task })
    }

    /// Stops accepting connections and returns once every exchange in progress has ended, or after
    /// `timeout`.
    pub async fn stop(&mut self, timeout: Duration) {
        self.stopping.send_replace(true);
        let _ = tokio::time::timeout(timeout, &mut self.task).await;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn listen(address: SocketAddr, window_bytes: Option<usize>) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the length, which has to be known before they are opened.
    if let Some(window_bytes) = window_bytes.and_then(|bytes| u32::try_from(bytes).ok()) {
        socket.set_recv_buffer_size(window_bytes)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Waits until the server is asked to stop.
async fn wait_until_stopping(stopping: &mut watch::Receiver<bool>) {
    let _ = stopping.wait_for(|stopping| *stopping).await;
}

async fn accept<H: HttpHandler>(
    listener: TcpListener,
    handler: Arc<H>,
    window_bytes: Option<usize>,
    mut stopping: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    let stop_signal = stopping.clone();
    let permits = Arc::new(Semaphore::new(MAX_STARTED_AHEAD));
    let serving = |stream: TcpStream, peer| {
        let _ = stream.set_nodelay(true);
        if let Some(window_bytes) = window_bytes {
            let _ = SockRef::from(&stream).set_send_buffer_size(window_bytes);
        }
        let (handler, permits) = (handler.clone(), permits.clone());
        serve(stream, peer, handler, permits, stop_signal.clone())
    };
    loop {
        tokio::select! {
            () = wait_until_stopping(&mut stopping) => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    connections.spawn(serving(stream, peer));
                }
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
    // What waits to be accepted would be reset with the listener.
    let backlog_until = Instant::now() + BACKLOG_WAIT;
    while let Ok(Ok((stream, peer))) = timeout_at(backlog_until, listener.accept()).await {
        connections.spawn(serving(stream, peer));
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve<H: HttpHandler>(
    stream: TcpStream,
    peer: SocketAddr,
    handler: Arc<H>,
    permits: Arc<Semaphore>,
    mut stopping: watch::Receiver<bool>,
) {
    let connection = CallerConnection::new(stream, peer, handler, permits);
    connection.serve(wait_until_stopping(&mut stopping)).await;
}
