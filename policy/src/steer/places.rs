/// Places at an upstream that a request may take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Places {
    /// Any, up to the longest accepted queue.
    #[default]
    All,
    /// Those without a queue.
    Idle,
    /// Those that are spare: several slots of the upstream are idle.
    Spare,
}
