use crate::Token;

/// Where and how commands are sent.
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Operator addresses of instances, tried in order.
    pub addresses: Vec<String>,
    /// Secret of the operator.
    pub token: Token,
    /// Longest time for a connection to be made.
    pub connect_timeout_ms: u64,
    /// Longest time from sending a command to its whole answer, without the time it asks to wait.
    pub timeout_ms: u64,
}
