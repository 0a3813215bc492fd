use std::process::ExitCode;

use derive_more::Display;
use laburnumdeal_language::OperatorReply;
use laburnumdeal_model::Verdict;

/// Exit status of `laburnumctl`.
///
/// # Examples
///
/// ```
/// use laburnumdeal_cli::Exit;
///
/// assert_eq!(Exit::Unknown.status(), 3);
/// assert_eq!(Exit::NotRun.to_string(), "not run");
/// ```
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    #[display("done")]
    Done,
    /// The command was refused or is not valid; it had no effect.
    #[display("refused")]
    Refused,
    /// The command line or the token is not valid; nothing was sent.
    #[display("usage")]
    Usage,
    /// The change may or may not have been accepted.
    #[display("unknown")]
    Unknown,
    /// The command did not run.
    #[display("not run")]
    NotRun,
}

impl Exit {
    /// All statuses with their descriptions in the help text.
    pub const ALL: [(Self, &'static str); 5] = [
        (Self::Done, "the command is done"),
        (Self::Refused, "the command is refused or not valid"),
        (Self::Usage, "the options are not valid"),
        (
            Self::Unknown,
            "the answer is lost; ask again under the same id",
        ),
        (Self::NotRun, "the command did not run"),
    ];

    /// Returns the numeric exit code of the process.
    pub fn status(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unknown => 3,
            Self::NotRun => 4,
        }
    }

    /// Returns the status that reports a reply.
    pub fn from_reply(reply: &OperatorReply) -> Self {
        match reply {
            OperatorReply::Table(_) | OperatorReply::Audit { .. } => Self::Done,
            OperatorReply::Verdict(change) => match change.verdict {
                Verdict::Accepted { .. } | Verdict::WouldAccept { .. } => Self::Done,
                Verdict::Refused(_) => Self::Refused,
            },
            OperatorReply::Error(_) => Self::Refused,
            OperatorReply::Unknown { .. } => Self::Unknown,
            OperatorReply::NotRun { .. } => Self::NotRun,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.status())
    }
}
