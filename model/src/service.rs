/// A service and the limits on its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name, unique among services.
    pub name: String,
    /// Whether every request may run more than once, whatever its HTTP method.
    pub idempotent: bool,
    /// Whether requests that are not idempotent must carry a key.
    pub requires_key: bool,
    /// Time that a request may take when its caller sets no deadline.
    pub deadline_ms: u64,
    /// Maximum length of a request body.
    pub max_request_bytes: u64,
    /// Maximum length of an answer body.
    pub max_answer_bytes: u64,
}
