//! Revisions of the metadata store.
//!
//! The store counts its changes. When it is restored from a copy that is some seconds
//! old, it has lost the last of them: its count goes back and repeats numbers that it
//! gave out before. It identifies each copy by an era, which only rises. A count is
//! meaningful only within its era.

use std::fmt;

/// The copy of its data that the store runs on; 0 if the store reports none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u32);

impl fmt::Display for Era {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Bits of a revision that hold the count of changes: enough for a thousand changes a
/// second over thirty years.
const COUNT_BITS: u32 = 40;

/// A position in the store's changes: the era, and the count of changes within it. A
/// revision of a later era is later, whatever its count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision(u64);

impl StoreRevision {
    /// The revision with a count of changes in an era.
    pub fn new(era: Era, count: u64) -> Self {
        let max_count = (1 << COUNT_BITS) - 1;
        Self((u64::from(era.0) << COUNT_BITS) | count.min(max_count))
    }

    /// Its era.
    pub fn era(self) -> Era {
        // The bits above the count are those of an era.
        Era((self.0 >> COUNT_BITS) as u32)
    }

    /// The count of changes within its era.
    pub fn count(self) -> u64 {
        self.0 & ((1 << COUNT_BITS) - 1)
    }

    /// The revision as one number, for messages.
    pub fn to_bits(self) -> u64 {
        self.0
    }

    /// The revision of [`StoreRevision::to_bits`].
    pub fn from_bits(bits: u64) -> Self {
        Self(bits)
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            Era(0) => self.count().fmt(formatter),
            era => write!(formatter, "{era}/{}", self.count()),
        }
    }
}
