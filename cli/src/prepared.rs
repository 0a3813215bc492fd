use laburnumdeal_language::{Command, OperatorRequest};

/// Command that is ready to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prepared {
    /// The command.
    pub command: Command,
    /// Request that stands for it. Times are absolute in it and a change has an id, so that
    /// sending it again is the same command.
    pub request: OperatorRequest,
}
