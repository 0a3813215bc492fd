use derive_more::Display;

/// Promise that a run broke, with what was seen.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Violation {
    /// A request ran more than once.
    #[display("operation {operation} ran {runs} times")]
    RanTwice {
        /// Operation of the request.
        operation: String,
        /// How often it ran.
        runs: u32,
    },
    /// A caller was told "not run" of a request that ran.
    #[display("operation {operation} ran, but a caller was told that it did not")]
    FalseNotRun {
        /// Operation of the request.
        operation: String,
    },
    /// A caller was told an answer of a request that did not run.
    #[display("operation {operation} did not run, but a caller got an answer")]
    FalseAnswer {
        /// Operation of the request.
        operation: String,
    },
    /// A caller got the answer of another request.
    #[display("operation {operation} got the answer {answer:?}")]
    WrongAnswer {
        /// Operation of the request.
        operation: String,
        /// Answer as it came.
        answer: String,
    },
    /// A request had no final outcome in time.
    #[display("operation {operation} had no final outcome after {waited_ms} ms")]
    Late {
        /// Operation of the request.
        operation: String,
        /// Time waited.
        waited_ms: u64,
    },
    /// The cell did not come to its end, for example because its step was never reached.
    #[display("the cell did not come to its end")]
    Unfinished,
    /// A request ended without an outcome.
    #[display("operation {operation} ended without an outcome")]
    NoOutcome {
        /// Operation of the request.
        operation: String,
    },
    /// A request that could have been answered was not.
    #[display("operation {operation} was not answered although healthy upstreams had room: {seen}")]
    NotAnswered {
        /// Operation of the request.
        operation: String,
        /// Outcome as it came.
        seen: String,
    },
    /// A refusal names no time to come back.
    #[display("operation {operation} was refused without a time to come back")]
    NoRetryAfter {
        /// Operation of the request.
        operation: String,
    },
    /// An upstream that is leaving got new work.
    #[display("an upstream that has been leaving for seconds got {requests} requests")]
    WorkWhileLeaving {
        /// Requests that it got.
        requests: usize,
    },
    /// New requests are refused long after the fault.
    #[display("new requests get no answer after the fault: {seen}")]
    NotServing {
        /// Last outcome.
        seen: String,
    },
}
