use std::fmt;
use std::str::FromStr;

/// Share of some traffic in thousandths, displayed in percent with at most one decimal digit.
///
/// # Examples
///
/// ```
/// use laburnumdeal_language::Share;
///
/// assert_eq!("12.5%".parse(), Ok(Share(125)));
/// assert_eq!("125/1000".parse(), Ok(Share(125)));
/// assert_eq!(Share(1000).to_string(), "100%");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Share(pub u16);

/// Error of parsing a [`Share`].
#[derive(Clone, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
#[display("'{text}' is no share between 0.1% and 100%")]
pub struct ShareError {
    /// The invalid text.
    pub text: String,
}

impl FromStr for Share {
    type Err = ShareError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let permille = match text.strip_suffix('%') {
            Some(percent) => permille_of_percent(percent),
            None => text.strip_suffix("/1000").and_then(|n| n.parse().ok()),
        };
        match permille {
            Some(permille @ 1..=1000) => Ok(Self(permille)),
            _ => Err(ShareError {
                text: text.to_owned(),
            }),
        }
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 % 10 {
            0 => write!(f, "{}%", self.0 / 10),
            tenth => write!(f, "{}.{tenth}%", self.0 / 10),
        }
    }
}

fn permille_of_percent(text: &str) -> Option<u16> {
    let (whole, tenth) = text.split_once('.').unwrap_or((text, "0"));
    if tenth.len() != 1 {
        return None;
    }
    let whole: u16 = whole.parse().ok()?;
    let tenth: u16 = tenth.parse().ok()?;
    whole.checked_mul(10)?.checked_add(tenth)
}
