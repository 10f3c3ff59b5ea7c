//! Terms and log positions, ordered as in Raft.
//!
//! Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm", 2014, sections 5.1 (terms) and 5.4.1 (up-to-date comparison).

use std::fmt;

/// A period with at most one primary. Terms only increase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term(pub u64);

/// Position of a log entry: the term it was written in, then its index.
///
/// The derived order compares the term first. A position in the discarded tail of a
/// replaced primary's log is therefore smaller than any position of the next term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Term in which the entry was written.
    pub term: Term,
    /// Index of the entry in the log, from 1; 0 is the empty log.
    pub index: u64,
}

impl Position {
    /// Builds a position from a term and an index.
    pub const fn new(term: u64, index: u64) -> Self {
        Self {
            term: Term(term),
            index,
        }
    }
}

impl fmt::Display for Term {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.term, self.index)
    }
}
