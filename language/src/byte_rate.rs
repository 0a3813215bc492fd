use std::fmt;

/// Units of a rate and their sizes in bytes; a rate is displayed in the first unit that divides
/// it.
const UNITS: [(&str, u64); 7] = [
    ("Gbit", 125_000_000),
    ("Mbit", 125_000),
    ("GB", 1_000_000_000),
    ("MB", 1_000_000),
    ("KB", 1_000),
    ("Kbit", 125),
    ("B", 1),
];

/// Bytes per second, displayed in the first of Gbit, Mbit, GB, MB, KB, Kbit and B that divides
/// them.
///
/// # Examples
///
/// ```
/// use laburnumdeal_language::ByteRate;
///
/// assert_eq!(ByteRate(35_000_000).to_string(), "280 Mbit per s");
/// assert_eq!(ByteRate::from_units(4, "Gbit"), Some(ByteRate(500_000_000)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ByteRate(pub u64);

impl ByteRate {
    /// Returns the rate of `count` units per second, or `None` if the unit is unknown or the rate
    /// exceeds [`u64::MAX`].
    pub fn from_units(count: u64, unit: &str) -> Option<Self> {
        let (_, bytes) = UNITS.iter().find(|(name, _)| *name == unit)?;
        count.checked_mul(*bytes).map(Self)
    }
}

impl fmt::Display for ByteRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides = |bytes: u64| self.0 > 0 && self.0.is_multiple_of(bytes);
        let unit = UNITS.iter().find(|(_, bytes)| divides(*bytes));
        let (name, bytes) = unit.unwrap_or(&("B", 1));
        write!(f, "{} {name} per s", self.0 / bytes)
    }
}
