/// Counts of the upstreams of a service, which tell why none takes a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceReach {
    /// Upstreams in the list that are not leaving.
    pub listed: usize,
    /// Those that get no requests for a while, because they refused some, asked to
    /// wait or could not be reached.
    pub avoided: usize,
    /// Those of them that asked to wait.
    pub waiting: usize,
    /// Those that could not be reached since their last answer.
    pub unreached: usize,
}
