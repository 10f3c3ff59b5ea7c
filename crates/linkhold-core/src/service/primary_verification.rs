//! Verifies that an instance which announces the primary role was not replaced before a
//! node learnt of it.
//!
//! An instance's entry states a role and no term. A primary that was replaced while it
//! was cut off goes on announcing the primary role, and nothing contradicts it while
//! its successor is unreachable. So the statuses of the instances that answer are not
//! enough: the promotions that the store has recorded count as well
//! ([`PromotionRecord`]).
//!
//! # Invariant
//!
//! A missing answer proves nothing. [`PrimaryVerdict::Leads`] requires the instance's
//! own status, and that of each other instance that may have been promoted since a
//! primary was last verified.

use super::failover::InstanceStatus;
use super::instance::{InstanceId, Role};
use crate::position::Term;

/// The store's record of a service's promotions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromotionRecord {
    /// The newest term in which a primary's log was proved to end, if that followed
    /// another term.
    pub proved_term: Option<Term>,
    /// The instances for which the lease was claimed since then, the latest last. Each
    /// may have been promoted, or the claim was given up.
    pub claimed: Vec<InstanceId>,
}

/// Maximum number of claimed instances kept: more than a service has, each in a few
/// incarnations.
const MAX_CLAIMED: usize = 16;

impl PromotionRecord {
    /// Records that the lease is claimed for an instance.
    pub fn record_claim(&mut self, successor: &InstanceId) {
        self.claimed.retain(|claimed| claimed != successor);
        self.claimed.push(successor.clone());
        if self.claimed.len() > MAX_CLAIMED {
            self.claimed.remove(0);
        }
    }

    /// Records that a primary's log was proved to end in a term; returns whether that
    /// changes the record. No instance claimed before is primary in a later term,
    /// except `pending`, for which a claim may still take effect.
    pub fn record_proved_term(&mut self, term: Term, pending: Option<&InstanceId>) -> bool {
        if self.proved_term > Some(term) {
            return false;
        }
        let before = self.clone();
        self.proved_term = Some(term);
        self.claimed.retain(|claimed| Some(claimed) == pending);
        *self != before
    }
}

/// Result of verifying a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryVerdict {
    /// It is primary: no instance was promoted after it.
    Leads,
    /// It reports that it is not primary, or this newer term is known.
    Replaced(Term),
    /// It does not report its term.
    Silent,
    /// An instance for which the lease was claimed does not report whether it was
    /// promoted.
    Unknown,
}

/// Verifies an instance that is considered primary for its entry alone, by the statuses
/// that it and the other instances of its service reported and by the store's record.
pub fn verify_primary(
    id: &InstanceId,
    statuses: &[InstanceStatus],
    record: &PromotionRecord,
) -> PrimaryVerdict {
    let Some(own) = statuses.iter().find(|status| status.id == *id) else {
        return PrimaryVerdict::Silent;
    };
    let reported = statuses.iter().map(|status| status.term).max();
    let newest = reported.max(record.proved_term).unwrap_or(own.term);
    if own.role != Role::Primary || newest > own.term {
        return PrimaryVerdict::Replaced(newest);
    }
    // An instance that follows no newer term was not promoted.
    let has_reported = |claimed: &InstanceId| statuses.iter().any(|it| it.id == *claimed);
    if record.claimed.iter().all(has_reported) {
        PrimaryVerdict::Leads
    } else {
        PrimaryVerdict::Unknown
    }
}
