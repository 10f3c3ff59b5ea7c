//! Selection of the instance that serves a read.
//!
//! An instance is eligible when its row is active, its weight at this hour is
//! above zero, it answers probes and it has reached the position the session
//! requires. Among eligible instances the choice is random in proportion to
//! weight, with instances of the node's own zone counted
//! [`LOCAL_ZONE_FACTOR`] times; an instance without a free slot is chosen only
//! if no other is left.

use rand::Rng;

use crate::group_view::{GroupView, InstanceIndex};
use crate::position::Position;

/// Factor by which the weight of an instance in the node's own zone is multiplied.
pub const LOCAL_ZONE_FACTOR: u32 = 4;

/// Current state of an instance, as far as routing depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index of the instance in the database's view.
    pub instance: InstanceIndex,
    /// Weight at the current hour.
    pub weight: u32,
    /// Whether the instance is in the node's own zone.
    pub local_zone: bool,
    /// Whether the instance's row accepts new work.
    pub accepts_work: bool,
    /// Whether a read would be admitted without waiting.
    pub has_room: bool,
}

/// Instances that a read may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadScope {
    /// Replicas only.
    Replicas,
    /// The primary only.
    Primary,
    /// Any instance.
    Any,
}

/// Selects an instance for a read that requires the position `required`; `None` if
/// no instance is eligible now.
pub fn choose_for_read(
    view: &GroupView,
    candidates: &[Candidate],
    required: Position,
    scope: ReadScope,
    random: &mut impl Rng,
) -> Option<InstanceIndex> {
    let eligible: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| is_eligible(view, candidate, required, scope))
        .collect();
    let with_room: Vec<&Candidate> = eligible
        .iter()
        .copied()
        .filter(|candidate| candidate.has_room)
        .collect();
    let choices = if with_room.is_empty() {
        eligible
    } else {
        with_room
    };
    pick_by_weight(&choices, random)
}

fn is_eligible(
    view: &GroupView,
    candidate: &Candidate,
    required: Position,
    scope: ReadScope,
) -> bool {
    let is_primary = view
        .primary()
        .is_some_and(|primary| primary.instance == candidate.instance);
    let in_scope = match scope {
        ReadScope::Replicas => !is_primary,
        ReadScope::Primary => is_primary,
        ReadScope::Any => true,
    };
    // A primary serves reads only as a fallback, whatever its weight: the weight
    // of a row is the instance's effective_weight of reads as a replica.
    let has_weight = candidate.weight > 0 || (is_primary && scope != ReadScope::Replicas);
    in_scope
        && has_weight
        && candidate.accepts_work
        && view.is_reachable(candidate.instance)
        && view.has_reached(candidate.instance, required)
}

fn pick_by_weight(choices: &[&Candidate], random: &mut impl Rng) -> Option<InstanceIndex> {
    let total: u32 = choices
        .iter()
        .map(|candidate| effective_weight(candidate))
        .sum();
    if total == 0 {
        return choices.first().map(|candidate| candidate.instance);
    }
    let mut point = random.random_range(0..total);
    for candidate in choices {
        let effective_weight = effective_weight(candidate);
        if point < effective_weight {
            return Some(candidate.instance);
        }
        point -= effective_weight;
    }
    None
}

fn effective_weight(candidate: &Candidate) -> u32 {
    let factor = if candidate.local_zone {
        LOCAL_ZONE_FACTOR
    } else {
        1
    };
    candidate.weight * factor
}
