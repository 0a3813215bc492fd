/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name, unique among services.
    pub name: String,
    /// Whether every request may run more than once, whatever its method.
    pub idempotent: bool,
    /// Whether requests that are not idempotent must carry a key.
    pub requires_key: bool,
    /// Time a request may take when the caller names none.
    pub deadline_ms: u64,
    /// Longest request body.
    pub max_request_bytes: u64,
    /// Longest answer body.
    pub max_answer_bytes: u64,
}
