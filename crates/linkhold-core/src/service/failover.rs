//! Replacing a primary: which node may order it, when, and which successor is promoted.
//!
//! # Invariants
//!
//! * A token belongs to one holder and one intended successor. A new holder, or another
//!   successor, takes a higher one, so that a delayed order is refused once a newer one
//!   has been seen.
//! * A lease of one era of the store permits no order in another: a store that was
//!   restored from an older copy may have lost a claim. Tokens of a later era are
//!   higher than all of an earlier one ([`next_token`]), whichever of them the copy
//!   holds.
//! * A former primary is ordered to resume its role under a lease that directly follows
//!   the one for its successor ([`FailoverLease::directly_follows`]): a node that was
//!   paused between the two may wake after another node's promotion.
//! * A holder keeps other nodes from claiming for [`LEASE`], counted on the store's
//!   clock from the write that claimed.
//! * An order is sent only while its lease lasts for [`ORDER_TIMEOUT`] more, by its
//!   node's steady clock, counted from before the lease was claimed.
//! * Where the authority checks no tokens, the row records that an order is about to be
//!   sent. For [`MAX_ORDER_DELAY`] no other token is handed out then: the order may be
//!   carried out late, after newer ones.

use std::time::Duration;

use crate::position::{Position, Term};

use super::instance::{InstanceId, Role};
use super::store_revision::Era;

/// How long a claim keeps other nodes from claiming.
pub const LEASE: Duration = Duration::from_millis(4_000);

/// How long the answer to a promotion order may take. The connection is reset then, so
/// that the order is not sent later.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long after its lease was claimed an order may be sent at the latest, so that it is
/// answered or given up while the lease lasts.
pub const LATEST_ORDER_AGE: Duration = LEASE.saturating_sub(ORDER_TIMEOUT);
/// How long after it was sent an unanswered order may still be carried out: up to 12 s,
/// as users report, and half a second of margin.
pub const MAX_ORDER_DELAY: Duration = Duration::from_millis(12_500);
/// Time that the platform takes to promote an instance once it carries an order out.
pub const PROMOTION_TIME: Duration = Duration::from_millis(1_000);

/// The failover lease of one service, as kept in the metadata store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailoverLease {
    /// Node that may order a promotion.
    pub holder: String,
    /// Fencing token; rises with every change of holder or successor.
    pub token: u64,
    /// When it was claimed or renewed, on the store's clock in milliseconds.
    pub claimed_at: u64,
    /// The instance that its token promotes; `None` if the lease was claimed in advance
    /// and its token was not used.
    pub successor: Option<InstanceId>,
    /// When an order under it was about to be sent, on the store's clock in
    /// milliseconds; `None` if none was, or if the authority checks tokens.
    pub ordered_at: Option<u64>,
}

/// Bits of a token below its era: enough for all claims of a service in one era.
const TOKEN_ERA_SHIFT: u32 = 32;

/// A token above `token` and above all tokens of earlier eras.
fn next_token(token: u64, era: Era) -> u64 {
    token.max(u64::from(era.0) << TOKEN_ERA_SHIFT) + 1
}

/// The era in which a token was handed out.
pub fn era_of_token(token: u64) -> Era {
    // The bits above the shift are those of an era.
    Era((token >> TOKEN_ERA_SHIFT) as u32)
}

/// When and in which era a lease is claimed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimTime {
    /// On the store's clock, in milliseconds.
    pub now: u64,
    /// The store's era.
    pub era: Era,
}

/// Result of a claim for a service's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Write this lease on condition that the row is unchanged.
    Write(FailoverLease),
    /// Another node holds the lease for this long.
    HeldElsewhere(Duration),
}

/// Decides on a node's claim to promote a successor.
pub fn claim(
    current: Option<&FailoverLease>,
    node: &str,
    successor: &InstanceId,
    time: ClaimTime,
) -> ClaimDecision {
    let ClaimTime { now, era } = time;
    let Some(current) = current else {
        return ClaimDecision::Write(lease(node, next_token(0, era), now, successor));
    };
    let is_current_era = era_of_token(current.token) == era;
    if is_current_era && current.holder == node && current.may_promote(successor) {
        return ClaimDecision::Write(FailoverLease {
            ordered_at: current.ordered_at,
            ..lease(node, current.token, now, successor)
        });
    }
    let left = match current.ordered_at {
        Some(ordered_at) => remaining(MAX_ORDER_DELAY, ordered_at, now),
        None if current.holder == node => None,
        None => remaining(LEASE, current.claimed_at, now),
    };
    match left {
        Some(left) => ClaimDecision::HeldElsewhere(left),
        None => ClaimDecision::Write(lease(node, next_token(current.token, era), now, successor)),
    }
}

/// What remains of a period that began at a moment of the store's clock; `None` if it
/// is over.
fn remaining(time: Duration, from: u64, now: u64) -> Option<Duration> {
    let age = Duration::from_millis(now.saturating_sub(from));
    time.checked_sub(age).filter(|left| !left.is_zero())
}

fn lease(node: &str, token: u64, now: u64, successor: &InstanceId) -> FailoverLease {
    FailoverLease {
        holder: node.to_owned(),
        token,
        claimed_at: now,
        successor: Some(successor.clone()),
        ordered_at: None,
    }
}

/// A lease claimed in advance, so that a promotion does not need the store where the
/// authority itself refuses old tokens; `None` if there is nothing to claim. Only a
/// lease whose holder has left the fleet is taken over.
pub fn claim_in_advance(
    current: Option<&FailoverLease>,
    node: &str,
    is_in_fleet: impl FnOnce(&str) -> bool,
    time: ClaimTime,
) -> Option<FailoverLease> {
    let ClaimTime { now, era } = time;
    let token = match current {
        None => next_token(0, era),
        Some(current) => {
            let is_held = remaining(LEASE, current.claimed_at, now).is_some();
            let ordered_at = current.ordered_at;
            let is_open = ordered_at.and_then(|at| remaining(MAX_ORDER_DELAY, at, now));
            let is_current_era = era_of_token(current.token) == era;
            if is_held || is_open.is_some() || is_current_era && is_in_fleet(&current.holder) {
                return None;
            }
            next_token(current.token, era)
        }
    };
    Some(FailoverLease {
        holder: node.to_owned(),
        token,
        claimed_at: now,
        successor: None,
        ordered_at: None,
    })
}

impl FailoverLease {
    /// The lease as it is written just before an order is sent under `claimed`; `None`
    /// if another claim has replaced it.
    pub fn with_order_recorded(&self, claimed: &Self, now: u64) -> Option<Self> {
        let is_same = self.holder == claimed.holder
            && self.token == claimed.token
            && self.successor == claimed.successor;
        is_same.then(|| Self {
            claimed_at: now,
            ordered_at: Some(now),
            ..self.clone()
        })
    }

    /// Whether it was claimed right after an earlier lease of the same holder: no other
    /// node has claimed in between, so none has ordered a promotion.
    pub fn directly_follows(&self, earlier: &Self) -> bool {
        self.holder == earlier.holder && self.token == earlier.token + 1
    }

    /// Whether an order under it may still be carried out at a moment of the store's
    /// clock.
    pub fn may_take_effect(&self, now: u64) -> bool {
        remaining(LEASE + MAX_ORDER_DELAY, self.claimed_at, now).is_some()
    }

    /// Whether its token may be used for this successor.
    pub fn may_promote(&self, successor: &InstanceId) -> bool {
        self.successor
            .as_ref()
            .is_none_or(|promoted| promoted == successor)
    }
}

/// Results of the nodes' attempts to reach an instance as a primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReachabilityTally {
    /// Nodes of the fleet, including the asking one.
    pub nodes: usize,
    /// Nodes that reach it as a primary.
    pub reached: usize,
    /// Nodes that tried and did not reach it.
    pub unreached: usize,
    /// Nodes that reach it, but not as a primary.
    pub not_primary: usize,
}

impl ReachabilityTally {
    /// Whether the instance certainly serves no writes through any node.
    ///
    /// A primary that any node reaches goes on acknowledging commits, and its replicas
    /// may lack them: replacing it would undo acknowledged commits. A node that does
    /// not answer may be on the primary's side of a partition, so its answer is
    /// required until it no longer counts as a node of the fleet.
    pub fn is_lost(&self) -> bool {
        self.nodes > 0 && self.reached == 0 && self.unreached + self.not_primary >= self.nodes
    }
}

/// Status that an instance reports when asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceStatus {
    /// The instance.
    pub id: InstanceId,
    /// Its role.
    pub role: Role,
    /// The newest term that it follows.
    pub term: Term,
    /// Log position received, whether or not applied.
    pub received: Position,
}

/// Commits that a successor may lack when a primary is ordered to step down: they
/// follow within milliseconds while replication works.
const SMALL_GAP: u64 = 40;
/// Part of the drain time after which a leaving primary is replaced even if its
/// successor lacks commits, in percent.
const FORCE_PERCENT: u32 = 55;

/// Whether a leaving primary may be ordered to step down now. It waits for a successor
/// that is far behind, since the commits that the successor lacks would be undone.
pub fn may_hand_over(
    primary: Position,
    successor: Position,
    leaving_for: Duration,
    drain: Duration,
) -> bool {
    let is_close = primary.term == successor.term
        && primary.index.saturating_sub(successor.index) <= SMALL_GAP;
    is_close || must_hand_over(leaving_for, drain)
}

/// Whether a leaving primary is replaced even if that undoes commits: it may be gone
/// before a better successor is there.
pub fn must_hand_over(leaving_for: Duration, drain: Duration) -> bool {
    leaving_for > drain * FORCE_PERCENT / 100
}

/// A replica that may be promoted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Successor {
    /// The status that it reports.
    pub status: InstanceStatus,
    /// It is leaving, so it is chosen only if no other candidate is left.
    pub is_leaving: bool,
    /// It is in a region where a primary of its service should be.
    pub is_in_primary_region: bool,
    /// It may get any number of requests.
    pub is_warm: bool,
}

/// Whether a candidate may be promoted at all. Promoting one whose log ends in an older
/// term than was seen acknowledged would undo all of the newer term.
pub fn has_current_term(candidate: &InstanceStatus, newest_evidence: Option<Position>) -> bool {
    newest_evidence.is_none_or(|newest| candidate.received.term >= newest.term)
}

/// The instance to promote: the one that has received most, since no commits are given
/// up for a better region; among equals one in a primary region, then one that is warm,
/// then one that stays, then the lowest identity, so that all nodes choose alike. Where
/// no commit may be lost the received position always decides; elsewhere, a leaving
/// instance is skipped while there is another.
pub fn choose_successor<'a>(
    candidates: impl IntoIterator<Item = &'a Successor>,
    forbids_loss: bool,
) -> Option<&'a Successor> {
    let candidates: Vec<&Successor> = candidates.into_iter().collect();
    let any_stays = candidates.iter().any(|candidate| !candidate.is_leaving);
    let skips_leaving = !forbids_loss && any_stays;
    candidates
        .into_iter()
        .filter(|candidate| !(skips_leaving && candidate.is_leaving))
        .max_by(|first, second| rank(first).cmp(&rank(second)))
}

/// Candidates for a planned switch-over, which waits for commits: those that are close
/// to the one that has received most, warm and not leaving, if there are any. Where no
/// commit may be lost the received position always decides, so all candidates stay.
pub fn switchover_candidates(candidates: Vec<Successor>, forbids_loss: bool) -> Vec<Successor> {
    if forbids_loss {
        return candidates;
    }
    let Some(most_advanced) = candidates.iter().map(|it| it.status.received).max() else {
        return candidates;
    };
    let is_close = |it: &Successor| {
        let received = it.status.received;
        received.term == most_advanced.term && most_advanced.index - received.index <= SMALL_GAP
    };
    let is_good = |it: &Successor| is_close(it) && it.is_warm && !it.is_leaving;
    if candidates.iter().any(is_good) {
        candidates.into_iter().filter(is_good).collect()
    } else {
        candidates
    }
}

/// Sort key of candidates; the highest comes first.
type Rank<'a> = (
    Position,
    bool,
    bool,
    bool,
    std::cmp::Reverse<&'a InstanceId>,
);

fn rank(candidate: &Successor) -> Rank<'_> {
    (
        candidate.status.received,
        candidate.is_in_primary_region,
        candidate.is_warm,
        !candidate.is_leaving,
        std::cmp::Reverse(&candidate.status.id),
    )
}
