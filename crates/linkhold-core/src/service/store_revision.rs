//! Places in what the metadata store has recorded.
//!
//! The store counts its changes. When it comes back from a copy that is some seconds
//! old it has forgotten the last of them, and its count goes back and runs through
//! numbers that it gave out before. It tells each copy apart by an era, which only
//! rises. A number means something in its era alone.

use std::fmt;

/// Which copy of itself the store runs on; 0 if it tells none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u32);

impl fmt::Display for Era {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Bits of a place that hold the count of changes: enough for a thousand changes a second
/// over thirty years.
const COUNT_BITS: u32 = 40;

/// A place in the store's changes: the era, and the count of changes within it. A place
/// in a later era is later, whatever its count.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision(u64);

impl StoreRevision {
    /// The place at a count of changes in an era.
    pub fn new(era: Era, count: u64) -> Self {
        let most = (1 << COUNT_BITS) - 1;
        Self((u64::from(era.0) << COUNT_BITS) | count.min(most))
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

    /// As one number, for messages.
    pub fn to_bits(self) -> u64 {
        self.0
    }

    /// From [`StoreRevision::to_bits`].
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
