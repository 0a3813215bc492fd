use derive_more::Display;

/// Current role of a replica.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Role {
    /// Belongs to no cluster yet.
    #[display("blank")]
    Blank,
    /// Does not vote; receives the log while it is a learner or an observer.
    #[display("learner")]
    Learner,
    /// Votes, and receives the log from a leader or waits for one.
    #[display("follower")]
    Follower,
    /// Campaigns to become leader.
    #[display("candidate")]
    Candidate,
    /// Leads the current term.
    #[display("leader")]
    Leader,
    /// Has stopped, on request or because a committed entry could not be applied.
    #[display("stopped")]
    Stopped,
}
