use std::process::ExitCode;

use derive_more::Display;
use laburnumdeal_language::OperatorReply;
use laburnumdeal_model::Verdict;

/// Exit status of the client.
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
    /// The command is done.
    #[display("done")]
    Done,
    /// The command is refused and has no effect.
    #[display("refused")]
    Refused,
    /// The options are not valid; nothing was sent.
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
    /// Every status with its meaning, for the help text.
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

    /// Returns the number that the process ends with.
    pub fn status(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unknown => 3,
            Self::NotRun => 4,
        }
    }

    /// Returns the status that an answer stands for.
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
