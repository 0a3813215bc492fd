use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;

/// Longest time that a caller waits for a response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Client that looks up entry instances and sends each request on a new connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Caller;

/// Request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// Response that a caller got.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// Answer of a look-up.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LookupAnswer {
    /// Entry instances, best first.
    pub instances: Vec<LookupInstance>,
    /// Time for which the answer is valid.
    pub ttl_ms: u64,
    /// Token that starts the keys of requests that may not be repeated.
    pub token: String,
}

/// Entry instance in the answer of a look-up.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct LookupInstance {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for requests.
    pub address: SocketAddr,
}

impl CallerRequest {
    /// Returns a GET request.
    pub fn get(service: &str, path: &str) -> Self {
        Self::new(Method::GET, service, path)
    }

    /// Returns a POST request with a body.
    pub fn post(service: &str, path: &str, body: impl Into<Bytes>) -> Self {
        Self {
            body: body.into(),
            ..Self::new(Method::POST, service, path)
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    fn new(method: Method, service: &str, path: &str) -> Self {
        let headers = vec![("laburnum-service".to_owned(), service.to_owned())];
        Self {
            method,
            path: path.to_owned(),
            headers,
            body: Bytes::new(),
        }
    }
}

impl CallerResponse {
    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("")
    }

    /// Returns the outcome: "answer", "not-run", "unknown" or an empty string.
    pub fn outcome(&self) -> &str {
        self.header("laburnum-outcome")
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl Caller {
    /// Sends a request and returns the response with its whole body.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection, or that no whole response came in time.
    pub async fn send(self, to: SocketAddr, request: &CallerRequest) -> io::Result<CallerResponse> {
        let timed = tokio::time::timeout(REQUEST_TIMEOUT, exchange(to, request)).await;
        timed.map_err(|_| {
            io::Error::new(
                io::ErrorKind::TimedOut,
                "no whole response within the caller's timeout",
            )
        })?
    }

    /// Asks an entry instance which instances to use for a service.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection, or that the response is no look-up answer.
    pub async fn look_up(
        self,
        at: SocketAddr,
        service: &str,
        address: &str,
    ) -> io::Result<LookupAnswer> {
        let path = format!("/laburnum/v1/lookup?service={service}&address={address}");
        let response = self
            .send(at, &CallerRequest::new(Method::GET, service, &path))
            .await?;
        serde_json::from_slice(&response.body).map_err(|error| {
            io::Error::other(format!(
                "look-up response with status {} is no look-up answer: {error}: {}",
                response.status,
                response.text()
            ))
        })
    }
}

async fn exchange(to: SocketAddr, request: &CallerRequest) -> io::Result<CallerResponse> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (mut sender, driver) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let driver = tokio::spawn(driver);
    let mut http_request = Request::builder()
        .method(&request.method)
        .uri(&request.path)
        .header("host", "edge");
    for (name, value) in &request.headers {
        http_request = http_request.header(name, value);
    }
    let http_request = http_request
        .body(Full::new(request.body.clone()))
        .map_err(io::Error::other)?;
    let response = sender
        .send_request(http_request)
        .await
        .map_err(io::Error::other)?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    driver.abort();
    Ok(CallerResponse {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}
