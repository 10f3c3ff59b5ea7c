//! Whether an instance that says it leads was replaced before a node knew of it.
//!
//! An instance's entry tells a role and no term. A primary that was replaced while it was
//! cut off goes on saying that it leads, and nobody contradicts it while its successor is
//! away. So the word of those instances that answer is not enough: what the store keeps of
//! earlier promotions counts as well ([`PromotionRecord`]).
//!
//! # Invariant
//!
//! No answer is no proof. [`PrimaryVerdict::Leads`] takes the instance's own word, and that of
//! each other one that may have been promoted since a lead was proved last.

use super::failover::InstanceStatus;
use super::instance::{InstanceId, Role};
use crate::position::Term;

/// What the store keeps of a service's promotions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromotionRecord {
    /// The newest term in which a primary's log was proved to end, if that followed another
    /// one.
    pub proved_term: Option<Term>,
    /// The instances for which the lease was claimed since then, the latest last. Each may
    /// have been promoted, or the claim was given up.
    pub claimed: Vec<InstanceId>,
}

/// Claimed instances that are kept, at the most: more than a service has, each in a few lives.
const MOST_CLAIMED: usize = 16;

impl PromotionRecord {
    /// The lease is claimed for an instance.
    pub fn record_claim(&mut self, successor: &InstanceId) {
        self.claimed.retain(|claimed| claimed != successor);
        self.claimed.push(successor.clone());
        if self.claimed.len() > MOST_CLAIMED {
            self.claimed.remove(0);
        }
    }

    /// A primary's log was proved to end in a term; whether that is news. Nobody claimed
    /// before leads a later one, but `pending`, for which a claim may still take effect.
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

/// Whether an instance leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrimaryVerdict {
    /// Nobody was promoted after it.
    Leads,
    /// It says that it does not lead, or this newer term is known.
    Replaced(Term),
    /// It does not tell its term.
    Silent,
    /// An instance for which the lease was claimed does not tell whether it was promoted.
    Unknown,
}

/// Judges an instance that is believed to lead for its entry alone, by what it and the others
/// of its service told when they were asked, and by what the store keeps.
pub fn verify_primary(
    id: &InstanceId,
    statuses: &[InstanceStatus],
    record: &PromotionRecord,
) -> PrimaryVerdict {
    let Some(own) = statuses.iter().find(|status| status.id == *id) else {
        return PrimaryVerdict::Silent;
    };
    let told = statuses.iter().map(|status| status.term).max();
    let newest = told.max(record.proved_term).unwrap_or(own.term);
    if own.role != Role::Primary || newest > own.term {
        return PrimaryVerdict::Replaced(newest);
    }
    // One that follows no newer term was not promoted.
    let has_told = |claimed: &InstanceId| statuses.iter().any(|it| it.id == *claimed);
    if record.claimed.iter().all(has_told) {
        PrimaryVerdict::Leads
    } else {
        PrimaryVerdict::Unknown
    }
}
