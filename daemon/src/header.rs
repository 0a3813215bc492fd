//! Names of the headers that callers, upstreams and peers exchange.

use http::header::HeaderName;
use http::{HeaderMap, HeaderValue};

/// Service that a request is for.
pub const SERVICE: HeaderName = HeaderName::from_static("laburnum-service");
/// Time that the caller still waits, in milliseconds.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("laburnum-deadline-ms");
/// Key of a request that may not be repeated.
pub const KEY: HeaderName = HeaderName::from_static("laburnum-key");
/// Identity of a request in logs and in `explain`.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("laburnum-request-id");
/// Outcome of a request: "answer", "not-run" or "unknown".
pub const OUTCOME: HeaderName = HeaderName::from_static("laburnum-outcome");
/// Time after which asking again makes sense, in milliseconds.
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
/// Name of the instance that sends a message or forwards a request.
pub const PEER: HeaderName = HeaderName::from_static("laburnum-peer");
/// Proof that the sender knows the peers' secret.
pub const PROOF: HeaderName = HeaderName::from_static("laburnum-proof");
/// Set by an upstream that refused a request before running any of it.
pub const LOAD_SHED: HeaderName = HeaderName::from_static("x-load-shed");
/// Time that an upstream has for a request, in milliseconds.
pub const UPSTREAM_DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");

/// Prefix of the headers that belong to this system.
const OWN_PREFIX: &str = "laburnum-";

/// Headers that concern one connection only, by RFC 9110.
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

/// Returns the headers without those that concern one connection only.
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

/// Removes the headers that belong to this system, except the request id.
pub fn strip_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_PREFIX) && **name != REQUEST_ID)
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}

/// Returns a header's text, if it is there and is text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header value of a text; characters that a header cannot hold become '?'.
pub fn value(text: &str) -> HeaderValue {
    let clean: String = text
        .chars()
        .map(|c| {
            if c.is_ascii_graphic() || c == ' ' {
                c
            } else {
                '?'
            }
        })
        .collect();
    HeaderValue::from_str(&clean).expect("graphic ASCII is a header value")
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
