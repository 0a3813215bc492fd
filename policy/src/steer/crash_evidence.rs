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
    /// Whether other instances can connect to it; `None` if none of them told.
    pub others_reach: Option<bool>,
}

/// Whether an upstream that left an attempt without an answer crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// It has answered another request since.
    Answers,
    /// It accepts connections.
    AcceptsConnections,
    /// Its address accepts connections, but it has left the list of upstreams unannounced.
    LeftList,
    /// It refuses connections.
    RefusesConnections,
    /// It does not reply.
    NoReply,
    /// Neither it nor its neighbors can be connected to.
    NeighborsUnreachable,
    /// Another instance can connect to it.
    ReachedByOthers,
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

impl CrashVerdict {
    /// Returns whether the upstream crashed.
    pub fn is_crash(self) -> bool {
        matches!(
            self,
            Self::LeftList | Self::RefusesConnections | Self::NoReply
        )
    }

    /// Returns whether this instance cannot connect to the upstream.
    pub fn is_unreachable(self) -> bool {
        matches!(
            self,
            Self::RefusesConnections
                | Self::NoReply
                | Self::NeighborsUnreachable
                | Self::ReachedByOthers
        )
    }

    /// Returns whether the upstream runs as far as is known, but may turn out to be another start.
    pub fn is_undecided(self) -> bool {
        matches!(self, Self::AcceptsConnections | Self::ReachedByOthers)
    }

    /// Returns the text for logs and metrics.
    pub fn text(self) -> &'static str {
        match self {
            Self::Answers => "answers",
            Self::AcceptsConnections => "accepts connections",
            Self::LeftList => "left the list",
            Self::RefusesConnections => "refuses connections",
            Self::NoReply => "no reply",
            Self::NeighborsUnreachable => "neighbors unreachable",
            Self::ReachedByOthers => "reached by others",
        }
    }
}
