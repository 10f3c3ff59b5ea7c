//! Evidence of how far a service's log had come at a moment.
//!
//! A reply that only a primary can give (to a commit that wrote, to a single write, or
//! to the start of a writing transaction) carries the position of its log. Everything
//! acknowledged before the request was *sent* lies at or below that position, since a
//! service has one primary at a time.
//!
//! # Invariants
//!
//! * A fence for "everything acknowledged before `m`" comes from evidence sent at `m`
//!   or later, measured on the steady clock before sending. A process that was paused
//!   in between has evidence older than it assumes, never younger.
//! * Evidence of a newer term covers every commit of older terms that still stands, so
//!   it replaces a fence of an older term, which is not waited for. The newest term is
//!   never forgotten: an instance that still answers in an older one has been replaced,
//!   and proves nothing.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::position::{Position, Term};

/// Maximum number of samples kept; with [`SAMPLE_SPACING`] they reach back several
/// seconds.
const MAX_SAMPLES: usize = 128;
/// Samples closer together than this replace one another.
const SAMPLE_SPACING: Duration = Duration::from_millis(40);

/// One observation of a primary's log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// When the request that proved it was sent.
    pub sent_at: Instant,
    /// Position in its reply.
    pub position: Position,
}

/// Recent observations of one service's primary, oldest first.
#[derive(Debug, Default)]
pub struct EvidenceLog {
    /// Observations of the newest term.
    samples: VecDeque<Sample>,
    /// The newest term in which any primary answered.
    newest_term: Option<Term>,
}

impl EvidenceLog {
    /// Records an observation, unless it is of an older term than is known.
    pub fn record(&mut self, sample: Sample) {
        let term = Some(sample.position.term);
        if term < self.newest_term {
            return;
        }
        if term > self.newest_term {
            self.newest_term = term;
            self.samples.clear();
        }
        self.drop_dense_sample(&sample);
        let index = self
            .samples
            .partition_point(|known| known.sent_at <= sample.sent_at);
        self.samples.insert(index, sample);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Records a term in which a primary's log was proved to end, as known from another
    /// source. Samples of an older term are dropped, since they prove nothing any more.
    pub fn record_proved_term(&mut self, term: Term) {
        if Some(term) > self.newest_term {
            self.newest_term = Some(term);
            self.samples.clear();
        }
    }

    /// Drops the newest sample if it lies close behind the one before it, so that
    /// `next`, which is of the same term, takes its place.
    fn drop_dense_sample(&mut self, next: &Sample) {
        let count = self.samples.len();
        if count < 2 {
            return;
        }
        let newest = self.samples[count - 1];
        let is_dense = newest.sent_at - self.samples[count - 2].sent_at < SAMPLE_SPACING;
        if is_dense && next.sent_at >= newest.sent_at {
            self.samples.pop_back();
        }
    }

    /// The lowest position that covers all commits acknowledged before
    /// `moment`, or `None` if nothing was observed since then.
    pub fn fence(&self, moment: Instant) -> Option<Position> {
        self.samples
            .iter()
            .rev()
            .take_while(|sample| sample.sent_at >= moment)
            .map(|sample| sample.position)
            .min()
    }

    /// The newest term in which any primary answered.
    pub fn newest_term(&self) -> Option<Term> {
        self.newest_term
    }

    /// The observation with the highest position.
    pub fn newest(&self) -> Option<Sample> {
        self.samples
            .iter()
            .copied()
            .max_by_key(|sample| sample.position)
    }

    /// The observation that was sent last.
    pub fn latest(&self) -> Option<Sample> {
        self.samples.back().copied()
    }

    /// When the latest observation was sent.
    pub fn latest_sent_at(&self) -> Option<Instant> {
        self.latest().map(|sample| sample.sent_at)
    }
}

/// The fence of a read: evidence raised to the session's own last commit. A
/// commit of an older term is covered by evidence of a newer one.
pub fn session_fence(evidence: Position, last_commit: Option<Position>) -> Position {
    last_commit.map_or(evidence, |commit| commit.max(evidence))
}
