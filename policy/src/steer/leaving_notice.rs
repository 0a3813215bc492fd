/// What an answer of an upstream says of whether the upstream leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeavingNotice {
    /// It says nothing, or that the upstream stays.
    Absent,
    /// The upstream leaves and wants no further requests.
    Leaving,
    /// It says something else, which changes nothing.
    Unreadable,
}
