use crate::Token;

/// Settings of a [`Client`](crate::Client).
#[derive(Clone, Debug)]
pub struct ClientSettings {
    /// Operator addresses (`HOST:PORT`) of instances, tried in this order.
    pub addresses: Vec<String>,
    /// Token that authenticates the operator.
    pub token: Token,
    /// Timeout for establishing a TCP connection.
    pub connect_timeout_ms: u64,
    /// Timeout from sending a command to receiving its complete reply. The `wait_ms` of a request
    /// is added to it.
    pub timeout_ms: u64,
}
