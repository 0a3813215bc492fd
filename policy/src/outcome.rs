use std::str::FromStr;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// What a caller is told about its request.
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
    /// The whole answer of an upstream.
    #[display("answer")]
    Answer,
    /// The request did not run and never will under its key.
    #[display("not-run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

/// Reports a text that names no outcome.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("outcome is {found:?}; expected \"answer\", \"not-run\" or \"unknown\"")]
pub struct OutcomeError {
    /// Text as given.
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
