use std::time::Duration;

use http::header::HeaderName;
use http::{HeaderMap, HeaderValue};
use laburnumdeal_policy::steer::UpstreamLoad;

/// Headers by which callers, entry instances and upstreams understand each other.
pub trait HeaderCodec: Send + Sync + 'static {
    /// Identity of a request; answers repeat it.
    const REQUEST_ID: HeaderName;
    /// Time that is left for a request, in milliseconds.
    const DEADLINE_MS: HeaderName;
    /// Object that a request concerns.
    const AFFINITY_KEY: HeaderName;
    /// Identity of the upstream that may run the request.
    const EXPECTED_UPSTREAM: HeaderName;

    /// Returns whether an answer says that the upstream did not run the request.
    fn reports_not_run(headers: &HeaderMap) -> bool;

    /// Returns the load that an upstream tells in an answer.
    fn load(headers: &HeaderMap) -> Option<UpstreamLoad>;

    /// Returns how a caller is told when to come back.
    fn retry_after(pause: Duration) -> HeaderValue;
}
