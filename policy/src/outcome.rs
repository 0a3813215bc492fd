use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Outcome of a request as reported to its caller.
///
/// # Examples
///
/// ```
/// use laburnumdeal_policy::Outcome;
///
/// assert_eq!("not-run".parse(), Ok(Outcome::NotRun));
/// assert_eq!(Outcome::NotRun.to_string(), "not-run");
/// ```
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The upstream's complete answer is returned.
    #[display("answer")]
    Answer,
    /// The request did not run and will never run under its key.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// Error for a text that is not an outcome.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("outcome is {found:?}; expected \"answer\", \"not-run\" or \"unknown\"")]
pub struct OutcomeError {
    /// Text that was parsed.
    found: String,
}

impl FromStr for Outcome {
    type Err = OutcomeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "answer" => Ok(Self::Answer),
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(OutcomeError {
                found: text.to_owned(),
            }),
        }
    }
}
