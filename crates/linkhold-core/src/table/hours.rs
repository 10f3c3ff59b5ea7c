//! Ranges of hours of the day.

use std::fmt;
use std::str::FromStr;

use thiserror::Error;

const HOURS_PER_DAY: u8 = 24;

/// Hours of the day in UTC; the end is exclusive. A range whose end is not after its
/// start extends over midnight. Written `6-18`, `22-4`, or
/// `*` for the whole day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HourRange {
    start: u8,
    length: u8,
}

/// The text is not a range of hours.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("expected `*` or a range such as 6-18, with hours from 0 to 24")]
pub struct HourRangeError;

impl HourRange {
    /// The whole day.
    pub const ALL_DAY: Self = Self {
        start: 0,
        length: HOURS_PER_DAY,
    };

    /// Whether the range contains this hour (0 to 23).
    pub fn contains(self, hour: u8) -> bool {
        let offset = (hour + HOURS_PER_DAY - self.start) % HOURS_PER_DAY;
        offset < self.length
    }

    /// Whether the two ranges have an hour in common.
    pub fn overlaps(self, other: Self) -> bool {
        (0..HOURS_PER_DAY).any(|hour| self.contains(hour) && other.contains(hour))
    }
}

impl FromStr for HourRange {
    type Err = HourRangeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text == "*" {
            return Ok(Self::ALL_DAY);
        }
        let (start, end) = text.split_once('-').ok_or(HourRangeError)?;
        let start: u8 = start.trim().parse().map_err(|_| HourRangeError)?;
        let end: u8 = end.trim().parse().map_err(|_| HourRangeError)?;
        if start >= HOURS_PER_DAY || end > HOURS_PER_DAY || start == end {
            return Err(HourRangeError);
        }
        let length = (end + HOURS_PER_DAY - start - 1) % HOURS_PER_DAY + 1;
        Ok(Self { start, length })
    }
}

impl fmt::Display for HourRange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.length == HOURS_PER_DAY {
            return formatter.write_str("*");
        }
        let end = (self.start + self.length - 1) % HOURS_PER_DAY + 1;
        write!(formatter, "{}-{end}", self.start)
    }
}
