/// Upstream that is slow against its service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlowUpstream {
    /// Name of the service.
    pub service: String,
    /// Identity of the upstream.
    pub upstream: String,
    /// Expected time of an answer, in percent of the usual one.
    pub percent: u32,
}
