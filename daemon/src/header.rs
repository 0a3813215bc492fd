//! Names of the headers that callers, upstreams and peers exchange, and access to header values.

use http::header::HeaderName;
use http::{HeaderMap, HeaderValue};

/// Service that a request is for.
pub const SERVICE: HeaderName = HeaderName::from_static("laburnum-service");
/// Time that the caller is willing to wait, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("laburnum-deadline-ms");
/// Key of a request that may not be repeated.
pub const KEY: HeaderName = HeaderName::from_static("laburnum-key");
/// Request id in logs and in `explain`.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("laburnum-request-id");
/// Outcome of a request: "answer", "not-run" or "unknown".
pub const OUTCOME: HeaderName = HeaderName::from_static("laburnum-outcome");
/// Time after which the caller should retry, in milliseconds.
pub const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("laburnum-retry-after-ms");
/// Claim token for the caller's next key.
pub const TOKEN: HeaderName = HeaderName::from_static("laburnum-token");
/// Upstream that gave the answer.
pub const UPSTREAM: HeaderName = HeaderName::from_static("laburnum-upstream");
/// Reason of an outcome other than an answer.
pub const REASON: HeaderName = HeaderName::from_static("laburnum-reason");
/// What the receiving instance may do with a forwarded request.
pub const ROLE: HeaderName = HeaderName::from_static("laburnum-role");
/// Address of the caller of a forwarded request.
pub const CALLER: HeaderName = HeaderName::from_static("laburnum-caller");
/// Version of the configuration that the sender of a forwarded request has in force.
pub const CONFIGURATION: HeaderName = HeaderName::from_static("laburnum-configuration");
/// Set by an instance that has checked whose request it forwards.
pub const CUSTOMER_CHECKED: HeaderName = HeaderName::from_static("laburnum-customer-checked");
/// Name of the instance that sends a message or forwards a request.
pub const PEER: HeaderName = HeaderName::from_static("laburnum-peer");
/// Proof that the sender knows the secret shared by the peers.
pub const PROOF: HeaderName = HeaderName::from_static("laburnum-proof");
/// Set by an upstream that shed a request before running any part of it.
pub const LOAD_SHED: HeaderName = HeaderName::from_static("x-load-shed");
/// Time that an upstream has for a request, in milliseconds.
pub const UPSTREAM_DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Prefix of the headers that are reserved for this system.
const RESERVED_PREFIX: &str = "laburnum-";

/// Hop-by-hop headers, by RFC 9110.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the end-to-end headers: all but the hop-by-hop ones and those that `Connection` lists.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed = listed_by_connection(headers);
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_listed = listed
            .iter()
            .any(|other| other.eq_ignore_ascii_case(name.as_str()));
        if !HOP_BY_HOP.contains(&name.as_str()) && !is_listed {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Removes the headers that are reserved for this system, except the request id.
pub fn strip_reserved(headers: &mut HeaderMap) {
    let reserved: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(RESERVED_PREFIX) && **name != REQUEST_ID)
        .cloned()
        .collect();
    for name in reserved {
        headers.remove(name);
    }
}

/// Returns the text of a header if it is present and is visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header value with this text; characters that a header cannot hold become '?'.
pub fn value(text: &str) -> HeaderValue {
    let sanitized: String = text
        .chars()
        .map(|c| {
            if c.is_ascii_graphic() || c == ' ' {
                c
            } else {
                '?'
            }
        })
        .collect();
    HeaderValue::from_str(&sanitized).expect("graphic ASCII is a header value")
}

fn listed_by_connection(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_owned())
        .collect()
}
