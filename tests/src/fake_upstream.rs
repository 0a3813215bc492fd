use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

use crate::behavior::{Behavior, Fault};
use crate::fake_body::FakeBody;

/// HTTP upstream of one service that records the requests it runs and fails on demand.
#[derive(Clone, Debug)]
pub struct FakeUpstream {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    name: String,
    address: SocketAddr,
    state: Mutex<State>,
    server: Mutex<Option<JoinHandle<()>>>,
    crashing: mpsc::UnboundedSender<()>,
}

#[derive(Debug, Default)]
struct State {
    behavior: Behavior,
    in_flight: u32,
    max_in_flight: u32,
    runs: Vec<Run>,
    crashes: u32,
}

/// Request that the upstream started to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Path and query.
    pub path: String,
    /// Value of the header `x-operation`, by which tests count the runs of an operation.
    pub operation: String,
    /// Time of arrival.
    pub at: Instant,
}

impl FakeUpstream {
    /// Starts an upstream that listens on an address.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(name: &str, address: SocketAddr) -> io::Result<Self> {
        let (crashing, crashes) = mpsc::unbounded_channel();
        let shared = Shared {
            name: name.to_owned(),
            address,
            state: Mutex::default(),
            server: Mutex::default(),
            crashing,
        };
        let upstream = Self {
            shared: Arc::new(shared),
        };
        upstream.restart().await?;
        tokio::spawn(restart_after_crashes(upstream.clone(), crashes));
        Ok(upstream)
    }

    /// Returns the name of the upstream in the topology.
    pub fn name(&self) -> &str {
        &self.shared.name
    }

    /// Changes the behavior for later requests.
    pub fn set(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut self.state().behavior);
    }

    /// Returns the requests that started to run, in order of arrival.
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Returns the number of runs of each operation.
    pub fn runs_by_operation(&self) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        for run in &self.state().runs {
            *counts.entry(run.operation.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the maximum number of requests in flight at one time.
    pub fn max_in_flight(&self) -> u32 {
        self.state().max_in_flight
    }

    /// Returns the number of crashes.
    pub fn crashes(&self) -> u32 {
        self.state().crashes
    }

    /// Closes all connections and stops listening, as a crash does.
    pub fn crash(&self) {
        let server = self
            .shared
            .server
            .lock()
            .expect("no panic while locked")
            .take();
        if let Some(server) = server {
            server.abort();
        }
        let mut state = self.state();
        state.crashes += 1;
        state.in_flight = 0;
    }

    /// Listens again after a crash.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn restart(&self) -> io::Result<()> {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.shared.address)?;
        let listener = socket.listen(1_024)?;
        let server = tokio::spawn(self.clone().accept(listener));
        *self.shared.server.lock().expect("no panic while locked") = Some(server);
        Ok(())
    }

    async fn accept(self, listener: TcpListener) {
        let mut connections = JoinSet::new();
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            connections.spawn(self.clone().serve(stream));
            while connections.try_join_next().is_some() {}
        }
    }

    async fn serve(self, stream: TcpStream) {
        let service = service_fn(|request| {
            let upstream = self.clone();
            async move { upstream.answer(request).await }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .serve_connection(TokioIo::new(stream), service);
        let _ = connection.await;
    }

    async fn answer(self, request: Request<Incoming>) -> io::Result<Response<FakeBody>> {
        match request.uri().path() {
            "/load" => return self.load(),
            "/health" => return Ok(text(StatusCode::OK, "ok")),
            _ => {}
        }
        let behavior = self.state().behavior.clone();
        if behavior.fault == Some(Fault::Shed) {
            let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "shed");
            response
                .headers_mut()
                .insert("x-load-shed", HeaderValue::from_static("1"));
            return Ok(response);
        }
        let _in_flight = InFlightGuard::start(&self, &request);
        let path = request.uri().to_string();
        let operation = operation(&request);
        let body = request
            .into_body()
            .collect()
            .await
            .map_err(io::Error::other)?
            .to_bytes();
        if behavior
            .poison_path
            .as_ref()
            .is_some_and(|poison_path| path.contains(poison_path))
        {
            self.crash_and_restart::<()>().await;
        }
        tokio::time::sleep(behavior.latency).await;
        match behavior.fault {
            Some(Fault::Crash) => self.crash_and_restart().await,
            Some(Fault::Silent) => std::future::pending().await,
            Some(Fault::Truncate) => Ok(truncated(&path)),
            Some(Fault::Shed) | None => Ok(self.echo(&path, &operation, &body, &behavior)),
        }
    }

    /// Crashes, and listens again after [`Behavior::downtime`]. Never returns.
    async fn crash_and_restart<T>(&self) -> T {
        let _ = self.shared.crashing.send(());
        std::future::pending().await
    }

    fn echo(
        &self,
        path: &str,
        operation: &str,
        body: &[u8],
        behavior: &Behavior,
    ) -> Response<FakeBody> {
        let mut answer = format!(
            "{} ran {operation} {path} with {} bytes\n",
            self.shared.name,
            body.len()
        )
        .into_bytes();
        answer.resize(answer.len().max(behavior.answer_bytes), b'.');
        let mut response = Response::new(FakeBody::complete(answer));
        if let Ok(value) = HeaderValue::from_str(operation) {
            response.headers_mut().insert("x-operation", value);
        }
        response
    }

    fn load(&self) -> io::Result<Response<FakeBody>> {
        let state = self.state();
        let behavior = &state.behavior;
        if behavior.is_load_hidden {
            return Err(io::Error::other("the load report is hidden by the test"));
        }
        let in_flight = behavior.reported_in_flight.unwrap_or(state.in_flight);
        let slots = behavior.slots;
        let document = format!(
            "{{\"in_flight\":{in_flight},\"slots\":{slots},\"state\":\"{}\"}}",
            behavior.state
        );
        Ok(text(StatusCode::OK, &document))
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.shared.state.lock().expect("no panic while locked")
    }
}

/// Crashes the upstream for each message and restarts it after its downtime. Messages that arrive
/// while it is down are dropped.
async fn restart_after_crashes(upstream: FakeUpstream, mut crashes: mpsc::UnboundedReceiver<()>) {
    while crashes.recv().await.is_some() {
        let downtime = upstream.state().behavior.downtime;
        upstream.crash();
        tokio::time::sleep(downtime).await;
        while crashes.try_recv().is_ok() {}
        let _ = upstream.restart().await;
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard {
    upstream: FakeUpstream,
}

impl InFlightGuard {
    fn start(upstream: &FakeUpstream, request: &Request<Incoming>) -> Self {
        let mut state = upstream.state();
        state.in_flight += 1;
        state.max_in_flight = state.max_in_flight.max(state.in_flight);
        let run = Run {
            path: request.uri().to_string(),
            operation: operation(request),
            at: Instant::now(),
        };
        state.runs.push(run);
        drop(state);
        Self {
            upstream: upstream.clone(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut state = self.upstream.state();
        state.in_flight = state.in_flight.saturating_sub(1);
    }
}

fn operation(request: &Request<Incoming>) -> String {
    let value = request
        .headers()
        .get("x-operation")
        .and_then(|value| value.to_str().ok());
    value.unwrap_or("").to_owned()
}

fn text(status: StatusCode, text: &str) -> Response<FakeBody> {
    let mut response = Response::new(FakeBody::complete(text.to_owned()));
    *response.status_mut() = status;
    response
}

/// Returns a response whose `content-length` exceeds its body.
fn truncated(path: &str) -> Response<FakeBody> {
    let mut response = Response::new(FakeBody::truncated(path.to_owned()));
    let claimed_length = HeaderValue::from(path.len() + 100);
    response
        .headers_mut()
        .insert(http::header::CONTENT_LENGTH, claimed_length);
    response
}

/// Default time from a crash of a fake upstream until it listens again.
pub const DEFAULT_DOWNTIME: Duration = Duration::from_millis(100);
