//! Asks upstreams and the platform for short JSON documents.

use std::time::Duration;

use http::{Method, Request};
use http_body_util::{BodyExt, Limited};
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::connection_pool::{ConnectionPool, Freshness};
use crate::exchange;
use crate::header;
use crate::request_body::RequestBody;

/// Longest document that is read.
const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;

/// Returns the document at a path, or why there is none.
pub async fn get_json<T: DeserializeOwned>(
    pool: &ConnectionPool,
    path: &'static str,
    timeout: Duration,
) -> Result<T, String> {
    let deadline = Instant::now() + timeout;
    let mut request = Request::new(RequestBody::whole(bytes::Bytes::new()));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = http::Uri::from_static(path);
    let host = header::value(&pool.address().to_string());
    request.headers_mut().insert(http::header::HOST, host);
    let (response, guard) = exchange::send(pool, Freshness::Any, request, deadline, None)
        .await
        .map_err(|error| error.to_string())?;
    let status = response.status();
    let limited = Limited::new(response.into_body(), MAX_DOCUMENT_BYTES);
    let body = tokio::time::timeout_at(deadline, limited.collect())
        .await
        .map_err(|_| "no answer before the timeout".to_owned())?
        .map_err(|error| error.to_string())?
        .to_bytes();
    guard.complete();
    if !status.is_success() {
        return Err(format!("answered with status {}", status.as_u16()));
    }
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
