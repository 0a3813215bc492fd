use std::fmt;
use std::str::FromStr;

const MS_PER_DAY: u64 = 86_400_000;
/// Days in one 400-year cycle of the Gregorian calendar.
const DAYS_PER_ERA: u64 = 146_097;
/// Days from 0000-03-01 to 1970-01-01.
const DAYS_TO_UNIX_EPOCH: u64 = 719_468;
const MAX_YEAR: u64 = 9_999;

/// Point in time in milliseconds since the Unix epoch, displayed in UTC.
///
/// # Examples
///
/// ```
/// use laburnumdeal_language::UtcTime;
///
/// let time: UtcTime = "2026-12-03T22:00Z".parse()?;
/// assert_eq!(time, UtcTime(1_796_335_200_000));
/// assert_eq!(time.to_string(), "2026-12-03T22:00:00Z");
/// # Ok::<(), laburnumdeal_language::UtcTimeError>(())
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UtcTime(pub u64);

/// Error of parsing a [`UtcTime`].
#[derive(Clone, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
#[display("'{text}' is no UTC time such as 2026-12-03T22:00Z")]
pub struct UtcTimeError {
    /// The invalid text.
    pub text: String,
}

impl FromStr for UtcTime {
    type Err = UtcTimeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        parse_unix_ms(text).map(Self).ok_or_else(|| UtcTimeError {
            text: text.to_owned(),
        })
    }
}

impl fmt::Display for UtcTime {
    /// Writes the milliseconds since the Unix epoch when the year has more than four digits.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (year, month, day) = date_from_days(self.0 / MS_PER_DAY);
        if year > MAX_YEAR {
            return write!(f, "{}", self.0);
        }
        let ms_of_day = self.0 % MS_PER_DAY;
        let (hour, minute, second) = (
            ms_of_day / 3_600_000,
            ms_of_day / 60_000 % 60,
            ms_of_day / 1_000 % 60,
        );
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}"
        )?;
        match ms_of_day % 1_000 {
            0 => f.write_str("Z"),
            ms => write!(f, ".{ms:03}Z"),
        }
    }
}

fn parse_unix_ms(text: &str) -> Option<u64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.split('-');
    let year = parse_digits(date.next()?, 4)?;
    let month = parse_digits(date.next()?, 2)?;
    let day = parse_digits(date.next()?, 2)?;
    if date.next().is_some() || year < 1970 || !(1..=12).contains(&month) {
        return None;
    }
    if day < 1 || day > days_in_month(year, month) {
        return None;
    }
    Some(days_from_date(year, month, day) * MS_PER_DAY + parse_time_of_day_ms(time)?)
}

fn parse_time_of_day_ms(text: &str) -> Option<u64> {
    let mut parts = text.split(':');
    let hour = parse_digits(parts.next()?, 2)?;
    let minute = parse_digits(parts.next()?, 2)?;
    let (second, fraction) = match parts.next() {
        Some(part) => part.split_once('.').unwrap_or((part, "000")),
        None => ("00", "000"),
    };
    let second = parse_digits(second, 2)?;
    let ms = parse_digits(fraction, 3)?;
    if parts.next().is_some() || hour > 23 || minute > 59 || second > 59 {
        return None;
    }
    Some(((hour * 60 + minute) * 60 + second) * 1_000 + ms)
}

fn parse_digits(text: &str, count: usize) -> Option<u64> {
    let is_valid = text.len() == count && text.bytes().all(|b| b.is_ascii_digit());
    is_valid.then(|| text.parse().ok())?
}

fn days_in_month(year: u64, month: u64) -> u64 {
    match month {
        4 | 6 | 9 | 11 => 30,
        2 if year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400)) => {
            29
        }
        2 => 28,
        _ => 31,
    }
}

/// Returns the days from the Unix epoch to a date. Years start in March, so that the leap day is
/// the last day of a year.
fn days_from_date(year: u64, month: u64, day: u64) -> u64 {
    let (year, month) = if month > 2 {
        (year, month - 3)
    } else {
        (year - 1, month + 9)
    };
    let day_of_year = (153 * month + 2) / 5 + day - 1;
    year * 365 + year / 4 - year / 100 + year / 400 + day_of_year - DAYS_TO_UNIX_EPOCH
}

/// Returns year, month and day of a number of days since the Unix epoch, by the algorithm
/// `civil_from_days` of Howard Hinnant.
fn date_from_days(days: u64) -> (u64, u64, u64) {
    let days = days + DAYS_TO_UNIX_EPOCH;
    let (era, day_of_era) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month + 2) / 5 + 1;
    let year = era * 400 + year_of_era;
    if month < 10 {
        (year, month + 3, day)
    } else {
        (year + 1, month - 9, day)
    }
}
