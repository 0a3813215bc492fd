use crate::steer::CrashVerdict;

/// What a new connection to an upstream showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeConnection {
    /// It was accepted.
    Accepted,
    /// It was refused.
    Refused,
    /// It got no reply.
    NoReply,
}

/// What is known of an upstream that left an attempt without an answer.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::steer::{CrashEvidence, CrashVerdict, ProbeConnection};
///
/// let refused = CrashEvidence {
///     connection: ProbeConnection::Refused,
///     has_left_list: false,
///     reaches_neighbors: true,
///     others_reach: None,
/// };
/// assert!(refused.verdict().is_crash());
/// let partitioned = CrashEvidence { others_reach: Some(true), ..refused };
/// assert_eq!(partitioned.verdict(), CrashVerdict::ReachedByOthers);
/// assert!(!partitioned.verdict().is_crash());
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashEvidence {
    /// What a new connection to the upstream showed.
    pub connection: ProbeConnection,
    /// Whether the list of upstreams dropped it without having shown it as leaving.
    pub has_left_list: bool,
    /// Whether this instance can connect to an upstream near it.
    pub reaches_neighbors: bool,
    /// Whether other instances can connect to it; `None` if none of them replied.
    pub others_reach: Option<bool>,
}

impl CrashEvidence {
    /// Returns whether the upstream crashed. An upstream that this instance cannot connect to did not
    /// if others can: then the link to it is cut. Nor did one whose neighbors cannot be connected to
    /// either, as no request causes that.
    pub fn verdict(self) -> CrashVerdict {
        match self.connection {
            ProbeConnection::Accepted if self.has_left_list => CrashVerdict::LeftList,
            ProbeConnection::Accepted => CrashVerdict::AcceptsConnections,
            _ if self.others_reach == Some(true) => CrashVerdict::ReachedByOthers,
            _ if !self.reaches_neighbors => CrashVerdict::NeighborsUnreachable,
            ProbeConnection::Refused => CrashVerdict::RefusesConnections,
            ProbeConnection::NoReply => CrashVerdict::NoReply,
        }
    }
}
