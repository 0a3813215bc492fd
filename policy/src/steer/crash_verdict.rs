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
