use derive_more::Display;

/// Guarantee that a cell of a fault matrix violated, with the evidence.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// A request that may not be repeated ran more than once.
    #[display("operation {operation} ran {runs} times")]
    RanTwice {
        /// Operation of the request.
        operation: String,
        /// Number of runs.
        runs: u32,
    },
    /// A caller got the outcome "not-run" for a request that ran.
    #[display("operation {operation} ran, but its caller got the outcome not-run")]
    FalseNotRun {
        /// Operation of the request.
        operation: String,
    },
    /// A caller got an answer to a request that did not run.
    #[display("operation {operation} did not run, but a caller got an answer")]
    FalseAnswer {
        /// Operation of the request.
        operation: String,
    },
    /// A caller got the answer of another request.
    #[display("operation {operation} got the answer of another request: {answer:?}")]
    WrongAnswer {
        /// Operation of the request.
        operation: String,
        /// Body of the answer.
        answer: String,
    },
    /// A request had no final outcome within its deadline plus a margin.
    #[display("operation {operation} had no final outcome after {waited_ms} ms")]
    Late {
        /// Operation of the request.
        operation: String,
        /// Time waited.
        waited_ms: u64,
    },
    /// The cell timed out, for example because its step was never reached.
    #[display("the cell timed out before all its checks ran")]
    Unfinished,
    /// A request ended without a known outcome.
    #[display("operation {operation} ended without a known outcome")]
    NoOutcome {
        /// Operation of the request.
        operation: String,
    },
    /// A request was not answered although other upstreams could serve it.
    #[display(
        "operation {operation} was not answered although healthy upstreams had free slots: {seen}"
    )]
    NotAnswered {
        /// Operation of the request.
        operation: String,
        /// Outcome and body that the caller got.
        seen: String,
    },
    /// A refusal lacks the header `laburnum-retry-after-ms`.
    #[display("operation {operation} was refused without the header laburnum-retry-after-ms")]
    NoRetryAfter {
        /// Operation of the request.
        operation: String,
    },
    /// An upstream that is leaving got new requests.
    #[display("an upstream that had been leaving for seconds got {requests} new requests")]
    WorkWhileLeaving {
        /// Number of new requests.
        requests: usize,
    },
    /// New requests are still not answered long after the fault ended.
    #[display("new requests are not answered after the fault ended: {seen}")]
    NotServing {
        /// Last outcome seen.
        seen: String,
    },
}
