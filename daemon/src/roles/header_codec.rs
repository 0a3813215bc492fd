use std::time::Duration;

use http::header::HeaderName;
use http::{HeaderMap, HeaderValue, StatusCode};
use laburnumdeal_policy::steer::{LeavingNotice, LimitNotice, UpstreamLoad, WaitNotice};

/// Names and value formats of the headers that an entry instance exchanges with callers and
/// upstreams.
pub trait HeaderCodec: Send + Sync + 'static {
    /// Request ID; every answer repeats it.
    const REQUEST_ID: HeaderName;
    /// Time left until the deadline of a request, in milliseconds.
    const DEADLINE_MS: HeaderName;
    /// Key of the object that a request concerns; requests with equal keys prefer the same
    /// upstreams.
    const AFFINITY_KEY: HeaderName;
    /// Key of a customer's caller. It goes no further than the instance that the caller sends it to.
    const CUSTOMER_KEY: HeaderName;
    /// Name of the customer that sent a request, for upstreams.
    const CUSTOMER: HeaderName;
    /// ID of the only upstream that may run the request.
    const EXPECTED_UPSTREAM: HeaderName;
    /// ID of the upstream that answers a status check.
    const UPSTREAM_ID: HeaderName;

    /// Header by which an upstream announces that it leaves. It is for instances, not for callers.
    const LEAVING: HeaderName;

    /// Returns whether the headers of an answer say that the upstream did not run the request.
    fn reports_not_run(headers: &HeaderMap) -> bool;

    /// Returns the load that an upstream reports in the headers of an answer.
    fn load(headers: &HeaderMap) -> Option<UpstreamLoad>;

    /// Returns what the headers of an answer say of the requests that the upstream takes.
    fn limit(headers: &HeaderMap) -> LimitNotice;

    /// Returns for how long the upstream wants no requests from this instance, by the status and
    /// the headers of an answer.
    fn wait(status: StatusCode, headers: &HeaderMap) -> WaitNotice;

    /// Returns whether the headers of an answer announce that the upstream leaves.
    fn leaving(headers: &HeaderMap) -> LeavingNotice;

    /// Formats the delay after which a caller should retry, as the value of `Retry-After`.
    fn retry_after(delay: Duration) -> HeaderValue;
}
