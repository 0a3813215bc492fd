use std::time::Duration;

/// What an answer of an upstream says of the time for which the upstream wants no requests from this
/// instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitNotice {
    /// It names no time.
    Absent,
    /// The upstream wants no requests for this time from now on.
    For(Duration),
    /// It names something that is no time, which changes nothing.
    Unreadable,
}
