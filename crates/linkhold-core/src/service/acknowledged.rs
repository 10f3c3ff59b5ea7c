//! Up to which position the commits of a service may have been acknowledged, by what the
//! nodes report that have agreed to acknowledge nothing more of its primary.
//!
//! # Invariant
//!
//! The nodes that report have acknowledged no commit beyond the newest position that one
//! of them reports. Nodes that have ended since may have. Evidence from after the end of
//! the last of them covers what they acknowledged, since the position of a primary's log
//! is at or beyond everything that was acknowledged before it was asked.
//!
//! Evidence of an older term than any node knows covers nothing: it may come from a
//! primary that was replaced.

use std::time::Instant;

use crate::position::{Position, Term};

/// What a node reports of the commits that it acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeReport {
    /// From when on the node has every acknowledgement of its own in its report.
    pub remembers_since: Instant,
    /// When the request was sent that yielded its latest evidence of the primary's log.
    pub evidence_at: Option<Instant>,
    /// The newest position that it acknowledged or has evidence of.
    pub newest: Option<Position>,
    /// The newest term of which it knows that a primary's log ends in it.
    pub proved_term: Option<Term>,
    /// Number of instances that may hold commits of the service.
    pub log_holders: usize,
}

/// The newest term in which a primary's log ends, as any node reports it.
pub fn newest_term(reports: &[NodeReport]) -> Option<Term> {
    let terms = reports.iter().map(|report| {
        let acknowledged = report.newest.map(|newest| newest.term);
        acknowledged.max(report.proved_term)
    });
    terms.max().flatten()
}

/// The position up to which commits may have been acknowledged; `None` if that is not
/// known. `last_departure` is when the last node left the fleet or was found missing.
pub fn acknowledged_bound(
    reports: &[NodeReport],
    last_departure: Option<Instant>,
) -> Option<Position> {
    let remembered = reports.iter().map(|report| report.remembers_since);
    let all_remember_since = remembered.chain(last_departure).max()?;
    let covers = |report: &NodeReport| {
        let evidence_at = report.evidence_at;
        evidence_at.is_some_and(|at| at >= all_remember_since)
    };
    let is_covered = reports.iter().any(covers);
    let newest = reports.iter().filter_map(|report| report.newest).max();
    let is_of_newest_term = newest.map(|newest| newest.term) >= newest_term(reports);
    newest.filter(|_| is_covered && is_of_newest_term)
}
