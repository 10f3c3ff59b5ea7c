//! Choice of the instance that serves a read.
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

/// How much more an instance in the node's own zone counts.
pub const LOCAL_ZONE_FACTOR: u32 = 4;

/// What routing needs to know of one instance at this moment.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index in the database's view.
    pub instance: InstanceIndex,
    /// Weight at the current hour.
    pub weight: u32,
    /// In the node's own zone.
    pub local_zone: bool,
    /// The row accepts new work.
    pub accepts_work: bool,
    /// A read would be admitted without waiting.
    pub has_room: bool,
}

/// Which instances a read may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadScope {
    /// Replicas only.
    Replicas,
    /// The primary only.
    Primary,
    /// Any instance.
    Any,
}

/// Picks an instance for a read that requires `required`, or `None` if no
/// instance is eligible now.
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
    let pool = if with_room.is_empty() {
        eligible
    } else {
        with_room
    };
    pick_by_weight(&pool, random)
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
    // A primary serves reads only as the fallback, whatever its weight: the
    // weight of a row is its share as a replica.
    let weighted = candidate.weight > 0 || (is_primary && scope != ReadScope::Replicas);
    in_scope
        && weighted
        && candidate.accepts_work
        && view.is_reachable(candidate.instance)
        && view.has_reached(candidate.instance, required)
}

fn pick_by_weight(pool: &[&Candidate], random: &mut impl Rng) -> Option<InstanceIndex> {
    let total: u32 = pool.iter().map(|candidate| share(candidate)).sum();
    if total == 0 {
        return pool.first().map(|candidate| candidate.instance);
    }
    let mut point = random.random_range(0..total);
    for candidate in pool {
        let share = share(candidate);
        if point < share {
            return Some(candidate.instance);
        }
        point -= share;
    }
    None
}

fn share(candidate: &Candidate) -> u32 {
    let factor = if candidate.local_zone {
        LOCAL_ZONE_FACTOR
    } else {
        1
    };
    candidate.weight * factor
}
