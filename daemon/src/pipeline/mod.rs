//! Connections on which callers send requests before earlier ones have been answered. Bytes are read
//! while a request is handled, so that a caller that leaves is noticed, and requests that may be
//! repeated run before their turn. Answers leave in the order of the requests.

mod arrived_at;
mod caller_connection;
mod head_scanner;
mod read_ahead;
mod read_ahead_io;
mod requests_ahead;
mod scanned_head;
mod started_request;

pub(crate) use arrived_at::ArrivedAt;
pub(crate) use caller_connection::{CallerConnection, MAX_STARTED_AHEAD};
pub use head_scanner::HeadScanner;
pub use scanned_head::ScannedHead;
