use std::fmt;
use std::str::FromStr;

const MS_PER_DAY: u64 = 86_400_000;
const DAYS_PER_ERA: u64 = 146_097;
/// Days from 0000-03-01 to 1970-01-01.
const EPOCH_DAYS: u64 = 719_468;
const MAX_YEAR: u64 = 9_999;

/// Point in time in milliseconds since the Unix epoch, written in UTC.
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

/// Reports a text that is no time in UTC.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error, PartialEq, Eq)]
#[display("'{text}' is no UTC time such as 2026-12-03T22:00Z")]
pub struct UtcTimeError {
    /// Text as given.
    pub text: String,
}

impl FromStr for UtcTime {
    type Err = UtcTimeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        read(text).map(Self).ok_or_else(|| UtcTimeError {
            text: text.to_owned(),
        })
    }
}

impl fmt::Display for UtcTime {
    /// Writes the bare number of milliseconds when the year has more than four digits.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (year, month, day) = date_of_days(self.0 / MS_PER_DAY);
        if year > MAX_YEAR {
            return write!(f, "{}", self.0);
        }
        let ms = self.0 % MS_PER_DAY;
        let (hour, minute, second) = (ms / 3_600_000, ms / 60_000 % 60, ms / 1_000 % 60);
        write!(
            f,
            "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}"
        )?;
        match ms % 1_000 {
            0 => f.write_str("Z"),
            fraction => write!(f, ".{fraction:03}Z"),
        }
    }
}

fn read(text: &str) -> Option<u64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.split('-');
    let year = digits(date.next()?, 4)?;
    let month = digits(date.next()?, 2)?;
    let day = digits(date.next()?, 2)?;
    if date.next().is_some() || year < 1970 || !(1..=12).contains(&month) {
        return None;
    }
    if day < 1 || day > days_in_month(year, month) {
        return None;
    }
    Some(days_of_date(year, month, day) * MS_PER_DAY + read_clock(time)?)
}

fn read_clock(text: &str) -> Option<u64> {
    let mut parts = text.split(':');
    let hour = digits(parts.next()?, 2)?;
    let minute = digits(parts.next()?, 2)?;
    let (second, fraction) = match parts.next() {
        Some(part) => part.split_once('.').unwrap_or((part, "000")),
        None => ("00", "000"),
    };
    let second = digits(second, 2)?;
    let ms = digits(fraction, 3)?;
    if parts.next().is_some() || hour > 23 || minute > 59 || second > 59 {
        return None;
    }
    Some(((hour * 60 + minute) * 60 + second) * 1_000 + ms)
}

fn digits(text: &str, count: usize) -> Option<u64> {
    let valid = text.len() == count && text.bytes().all(|b| b.is_ascii_digit());
    valid.then(|| text.parse().ok())?
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

/// Returns the days since the Unix epoch; years are counted from March.
fn days_of_date(year: u64, month: u64, day: u64) -> u64 {
    let (year, month) = if month > 2 {
        (year, month - 3)
    } else {
        (year - 1, month + 9)
    };
    let day_of_year = (153 * month + 2) / 5 + day - 1;
    year * 365 + year / 4 - year / 100 + year / 400 + day_of_year - EPOCH_DAYS
}

/// Returns year, month and day of a number of days since the Unix epoch.
fn date_of_days(days: u64) -> (u64, u64, u64) {
    let days = days + EPOCH_DAYS;
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
