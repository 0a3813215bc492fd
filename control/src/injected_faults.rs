/// Faults that tests inject to show that their checks notice them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InjectedFaults {
    /// Acknowledges a change once it is on the leader's own disk.
    pub acknowledge_before_majority: bool,
}
