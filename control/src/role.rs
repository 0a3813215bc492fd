use derive_more::Display;

/// What a replica does at the moment.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Role {
    /// Has no members yet, and waits to be given some.
    #[display("blank")]
    Blank,
    /// Follows without a vote.
    #[display("learner")]
    Learner,
    /// Follows a leader, or waits for one.
    #[display("follower")]
    Follower,
    /// Stands for election.
    #[display("candidate")]
    Candidate,
    /// Leads its term.
    #[display("leader")]
    Leader,
    /// Has ended.
    #[display("stopped")]
    Stopped,
}
