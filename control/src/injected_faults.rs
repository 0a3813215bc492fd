/// Faults that tests inject to prove that their checks detect them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InjectedFaults {
    /// Acknowledges a change once it is on the leader's disk, without waiting for a majority.
    pub acknowledge_before_majority: bool,
}
