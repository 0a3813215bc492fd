/// What an answer of an upstream says of the requests per second that the upstream takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitNotice {
    /// It names no limit.
    Unlimited,
    /// It names a limit for all instances together, in requests per second; finite and not below 0.
    PerSecond(f64),
    /// It names something that is no limit, which changes nothing.
    Unreadable,
}
