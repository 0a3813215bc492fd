use std::fmt;
use std::str::FromStr;

/// Units of a duration and their lengths in milliseconds, the longest first.
const UNITS: [(&str, u64); 5] = [
    ("d", 86_400_000),
    ("h", 3_600_000),
    ("m", 60_000),
    ("s", 1_000),
    ("ms", 1),
];

/// Duration in milliseconds, written in commands as in `1h30m`.
///
/// # Examples
///
/// ```
/// use laburnumdeal_language::DurationMs;
///
/// assert_eq!("90m".parse(), Ok(DurationMs(5_400_000)));
/// assert_eq!(DurationMs(5_400_000).to_string(), "1h30m");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DurationMs(pub u64);

/// Error of parsing a [`DurationMs`].
#[derive(Clone, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
pub enum DurationError {
    /// The text is not a sequence of numbers with units.
    #[display("'{text}' is no duration such as 10m or 1h30m")]
    Syntax {
        /// The invalid text.
        text: String,
    },
    /// The duration in milliseconds exceeds [`u64::MAX`].
    #[display("duration '{text}' is too long")]
    TooLong {
        /// The invalid text.
        text: String,
    },
}

impl FromStr for DurationMs {
    type Err = DurationError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let syntax = || DurationError::Syntax {
            text: text.to_owned(),
        };
        let too_long = || DurationError::TooLong {
            text: text.to_owned(),
        };
        let mut rest = text;
        let mut sum_ms = 0u64;
        while !rest.is_empty() || text.is_empty() {
            let digits = split_while(rest, |c| c.is_ascii_digit());
            let unit = split_while(digits.1, |c| c.is_ascii_alphabetic());
            let known_unit = UNITS.iter().find(|(name, _)| *name == unit.0);
            let (_, unit_ms) = known_unit.ok_or_else(syntax)?;
            if digits.0.is_empty() {
                return Err(syntax());
            }
            let count: u64 = digits.0.parse().map_err(|_| too_long())?;
            let part_ms = count.checked_mul(*unit_ms).ok_or_else(too_long)?;
            sum_ms = sum_ms.checked_add(part_ms).ok_or_else(too_long)?;
            rest = unit.1;
        }
        Ok(Self(sum_ms))
    }
}

impl fmt::Display for DurationMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0 == 0 {
            return f.write_str("0ms");
        }
        let mut rest_ms = self.0;
        for (name, unit_ms) in UNITS {
            if rest_ms >= unit_ms {
                write!(f, "{}{name}", rest_ms / unit_ms)?;
                rest_ms %= unit_ms;
            }
        }
        Ok(())
    }
}

fn split_while(text: &str, predicate: impl Fn(char) -> bool) -> (&str, &str) {
    let end = text.find(|c| !predicate(c)).unwrap_or(text.len());
    text.split_at(end)
}
