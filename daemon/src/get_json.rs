//! Fetches short JSON documents from upstreams and the platform.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Method, Request};
use http_body_util::{BodyExt, Limited};
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::connection_pool::{ConnectionPool, Freshness};
use crate::exchange;
use crate::header;
use crate::request_body::RequestBody;

/// Maximum size of a document.
const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;

/// Reports why a document could not be fetched.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum GetJsonError {
    /// The request failed, or the answer cannot be decoded.
    #[display("{reason}")]
    Unreadable {
        /// What went wrong.
        reason: String,
    },
    /// The answer has a status other than success.
    #[display("answered with status {status}")]
    Status {
        /// HTTP status code.
        status: u16,
    },
}

/// Fetches and decodes the document at a path.
pub async fn get_json<T: DeserializeOwned>(
    pool: &ConnectionPool,
    path: &str,
    timeout: Duration,
) -> Result<T, GetJsonError> {
    let body = get_document(pool, path, timeout).await?;
    serde_json::from_slice(&body).map_err(|error| unreadable(&error.to_string()))
}

/// Fetches the bytes of the document at a path.
///
/// # Errors
///
/// Returns why the document could not be fetched.
pub async fn get_document(
    pool: &ConnectionPool,
    path: &str,
    timeout: Duration,
) -> Result<Bytes, GetJsonError> {
    let deadline = Instant::now() + timeout;
    let mut request = Request::new(RequestBody::whole(Bytes::new()));
    *request.method_mut() = Method::GET;
    *request.uri_mut() = path.parse().map_err(|_| unreadable("the path is no URI"))?;
    let host = header::value(&pool.address().to_string());
    request.headers_mut().insert(http::header::HOST, host);
    let (response, guard) = exchange::send(pool, Freshness::Any, request, deadline, None)
        .await
        .map_err(|error| unreadable(&error.to_string()))?;
    let status = response.status();
    let limited = Limited::new(response.into_body(), MAX_DOCUMENT_BYTES);
    let body = tokio::time::timeout_at(deadline, limited.collect())
        .await
        .map_err(|_| unreadable("no answer before the timeout"))?
        .map_err(|error| unreadable(&error.to_string()))?
        .to_bytes();
    guard.complete();
    if !status.is_success() {
        return Err(GetJsonError::Status {
            status: status.as_u16(),
        });
    }
    Ok(body)
}

fn unreadable(reason: &str) -> GetJsonError {
    GetJsonError::Unreadable {
        reason: reason.to_owned(),
    }
}
