use derive_more::Display;
use std::str::FromStr;

/// Table that `show` prints.
///
/// # Examples
///
/// ```
/// use laburnumdeal_language::ShowSubject;
///
/// assert_eq!("zones".parse(), Ok(ShowSubject::Zones));
/// assert_eq!(ShowSubject::Caps.to_string(), "caps");
/// ```
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{}", self.name())]
pub enum ShowSubject {
    /// Upstreams with their slots and health.
    Upstreams,
    /// Entry instances and the configuration version that each holds.
    Instances,
    /// Availability zones.
    Zones,
    /// Regions.
    Regions,
    /// Services.
    Services,
    /// Drains and the progress of each.
    Drains,
    /// Caps in force.
    Caps,
    /// Blocks of caller addresses and the zones that they are steered to.
    Steering,
    /// Contents of the configuration.
    Configuration,
    /// State of the instance that replies.
    Status,
}

impl ShowSubject {
    /// Every subject, in the order of `docs/operators/language.md`.
    pub const ALL: [Self; 10] = [
        Self::Upstreams,
        Self::Instances,
        Self::Zones,
        Self::Regions,
        Self::Services,
        Self::Drains,
        Self::Caps,
        Self::Steering,
        Self::Configuration,
        Self::Status,
    ];

    /// Returns the keyword of the subject.
    pub fn name(self) -> &'static str {
        match self {
            Self::Upstreams => "upstreams",
            Self::Instances => "instances",
            Self::Zones => "zones",
            Self::Regions => "regions",
            Self::Services => "services",
            Self::Drains => "drains",
            Self::Caps => "caps",
            Self::Steering => "steering",
            Self::Configuration => "configuration",
            Self::Status => "status",
        }
    }
}

/// Error of parsing a [`ShowSubject`] from an unknown word.
#[derive(Clone, Debug, Display, derive_more::Error, PartialEq, Eq)]
#[display("'{word}' is no subject of 'show'")]
pub struct ShowSubjectError {
    /// The unknown word.
    pub word: String,
}

impl FromStr for ShowSubject {
    type Err = ShowSubjectError;

    fn from_str(word: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|s| s.name() == word);
        found.ok_or_else(|| ShowSubjectError {
            word: word.to_owned(),
        })
    }
}
