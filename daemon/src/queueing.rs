/// Whether a request may wait for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queueing {
    /// It may wait.
    Allowed,
    /// It does not wait; it is tried elsewhere immediately.
    Refused,
}
