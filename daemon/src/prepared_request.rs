use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Mutex;
use std::time::Duration;

use crate::incoming_body::IncomingBody;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use laburnumdeal_model::{Service, ServiceId, Topology};
use tokio::time::Instant;

use crate::header;
use crate::long_body::LongBody;
use crate::pipeline::ArrivedAt;
use crate::request_body::RequestBody;
use crate::request_error::RequestError;

/// Longest request body that is buffered whole, so that it can be sent again.
const MAX_REPLAYABLE_BYTES: u64 = 64 * 1024;

/// Size that the head of a request or an answer is assumed to take on a link, in bytes.
pub const ASSUMED_HEAD_BYTES: u64 = 1_024;

/// Longest request id, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// A validated request that can be sent to upstreams and peers.
#[derive(Debug)]
pub struct PreparedRequest {
    /// Service that it is for.
    pub service: ServiceId,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers that are passed on to the upstream.
    pub headers: HeaderMap,
    /// Time by which the final outcome is due.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Key, as the caller gave it.
    pub key: Option<String>,
    /// Request id in logs and in `explain`.
    pub request_id: String,
    /// Address of the caller.
    pub caller: IpAddr,
    /// Longest answer body of the service.
    pub max_answer_bytes: u64,
    /// Hash of service, method, path and buffered body; equal when the same request is sent again.
    pub fingerprint: u64,
    body: PreparedBody,
}

#[derive(Debug)]
enum PreparedBody {
    Whole(Bytes),
    Stream {
        incoming: Mutex<Option<IncomingBody>>,
        length_bytes: u64,
        max_bytes: u64,
    },
}

impl PreparedRequest {
    /// Validates a request and buffers its body if it is short. A deadline beyond `max_deadline_ms`
    /// is rejected, since a planned stop does not wait longer than that.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the request, which did not run.
    pub async fn read(
        request: Request<IncomingBody>,
        caller: IpAddr,
        topology: &Topology,
        max_deadline_ms: u64,
        new_request_id: impl FnOnce() -> String,
    ) -> Result<Self, RequestError> {
        let (parts, incoming) = request.into_parts();
        let service_id = find_service(&parts.headers, topology)?;
        let service = topology.service(service_id);
        let arrived_at = ArrivedAt::of(&parts.extensions);
        let deadline = arrived_at + find_deadline(&parts.headers, service, max_deadline_ms)?;
        let request_id = find_request_id(&parts.headers)?.unwrap_or_else(new_request_id);
        check_method(&parts.method)?;
        let idempotent = service.idempotent || parts.method.is_safe();
        let key = header::text(&parts.headers, &header::KEY).map(str::to_owned);
        if key.is_none() && parts.headers.contains_key(header::KEY) {
            return Err(RequestError::BadKey {
                reason: "is not text".to_owned(),
            });
        }
        if !idempotent && service.requires_key && key.is_none() {
            return Err(RequestError::KeyRequired {
                service: service.name.clone(),
            });
        }
        let body = PreparedBody::read(incoming, service, deadline).await?;
        let path = path_of(&parts.uri);
        let fingerprint = fingerprint(service_id, &parts.method, &path, &body);
        let mut headers = header::end_to_end(&parts.headers);
        header::strip_reserved(&mut headers);
        Ok(Self {
            service: service_id,
            method: parts.method,
            path,
            headers,
            deadline,
            idempotent,
            key: key.filter(|_| !idempotent),
            request_id,
            caller,
            max_answer_bytes: service.max_answer_bytes,
            fingerprint,
            body,
        })
    }

    /// Returns the time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the size of the request on a link, headers included.
    pub fn request_bytes(&self) -> u64 {
        let body_bytes = match &self.body {
            PreparedBody::Whole(bytes) => bytes.len() as u64,
            PreparedBody::Stream { length_bytes, .. } => *length_bytes,
        };
        ASSUMED_HEAD_BYTES + body_bytes
    }

    /// Returns the time until the deadline, in milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        self.remaining().as_millis() as u64
    }

    /// Returns whether the body can be sent more than once.
    pub fn is_replayable(&self) -> bool {
        matches!(self.body, PreparedBody::Whole(_))
    }

    /// Returns the body for one attempt, or `None` when it was streamed to an earlier attempt.
    pub fn take_body(&self) -> Option<RequestBody> {
        match &self.body {
            PreparedBody::Whole(bytes) => Some(RequestBody::whole(bytes.clone())),
            PreparedBody::Stream {
                incoming,
                max_bytes,
                ..
            } => {
                let inner = incoming.lock().expect("no panic while locked").take()?;
                Some(LongBody::new(VecDeque::new(), inner, *max_bytes).into())
            }
        }
    }
}

impl PreparedBody {
    async fn read(
        incoming: IncomingBody,
        service: &Service,
        deadline: Instant,
    ) -> Result<Self, RequestError> {
        let max_bytes = service.max_request_bytes;
        let too_long = || RequestError::BodyTooLong {
            service: service.name.clone(),
            max_bytes,
        };
        let hint = incoming.size_hint();
        if hint.lower() > max_bytes {
            return Err(too_long());
        }
        if hint
            .exact()
            .is_none_or(|bytes| bytes > MAX_REPLAYABLE_BYTES)
        {
            let length_bytes = hint.exact().unwrap_or(max_bytes);
            let incoming = Mutex::new(Some(incoming));
            return Ok(Self::Stream {
                incoming,
                length_bytes,
                max_bytes,
            });
        }
        let collecting = Limited::new(incoming, MAX_REPLAYABLE_BYTES as usize).collect();
        match tokio::time::timeout_at(deadline, collecting).await {
            Ok(Ok(collected)) => Ok(Self::Whole(collected.to_bytes())),
            Ok(Err(_)) | Err(_) => Err(RequestError::BodyIncomplete),
        }
    }
}

fn find_service(headers: &HeaderMap, topology: &Topology) -> Result<ServiceId, RequestError> {
    let name = header::text(headers, &header::SERVICE).ok_or(RequestError::NoService)?;
    topology
        .service_named(name)
        .ok_or_else(|| RequestError::UnknownService {
            name: name.to_owned(),
        })
}

fn find_deadline(
    headers: &HeaderMap,
    service: &Service,
    max_ms: u64,
) -> Result<Duration, RequestError> {
    let Some(value) = headers.get(header::DEADLINE_MS) else {
        return Ok(Duration::from_millis(service.deadline_ms));
    };
    let parsed = value
        .to_str()
        .ok()
        .and_then(|text| text.parse::<u64>().ok());
    match parsed.filter(|ms| (1..=max_ms).contains(ms)) {
        Some(ms) => Ok(Duration::from_millis(ms)),
        None => Err(RequestError::BadDeadline {
            text: String::from_utf8_lossy(value.as_bytes()).into_owned(),
            max: max_ms,
        }),
    }
}

fn find_request_id(headers: &HeaderMap) -> Result<Option<String>, RequestError> {
    if !headers.contains_key(header::REQUEST_ID) {
        return Ok(None);
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    header::text(headers, &header::REQUEST_ID)
        .filter(|id| (1..=MAX_REQUEST_ID_BYTES).contains(&id.len()) && id.chars().all(is_allowed))
        .map(|id| Some(id.to_owned()))
        .ok_or(RequestError::BadRequestId)
}

fn check_method(method: &Method) -> Result<(), RequestError> {
    if matches!(*method, Method::CONNECT | Method::TRACE) {
        return Err(RequestError::Method {
            method: method.to_string(),
        });
    }
    Ok(())
}

fn path_of(uri: &Uri) -> String {
    uri.path_and_query()
        .map_or_else(|| "/".to_owned(), |path| path.as_str().to_owned())
}

fn fingerprint(service: ServiceId, method: &Method, path: &str, body: &PreparedBody) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&service.0.to_le_bytes());
    hasher.update(method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(path.as_bytes());
    hasher.update(&[0]);
    if let PreparedBody::Whole(bytes) = body {
        hasher.update(bytes);
    }
    let hash = hasher.finalize();
    u64::from_le_bytes(
        hash.as_bytes()[..8]
            .try_into()
            .expect("a hash has 32 bytes"),
    )
}
