//! Replacing a primary: who may order it, when, and in favour of whom.
//!
//! # Invariants
//!
//! * A token belongs to one holder and one intended successor. A new holder,
//!   or another successor, takes a higher one, so that an order which was
//!   delayed on the way is refused once a newer one has been seen.
//! * A holder keeps other nodes from claiming for [`LEASE`], counted on the
//!   store's clock from the write that claimed.

use std::time::Duration;

use crate::position::{Position, Term};

use super::instance::{InstanceId, Role};

/// How long a claim keeps others from claiming.
pub const LEASE: Duration = Duration::from_millis(4_000);

/// The failover lease of one service, as kept in the metadata store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FailoverLease {
    /// Node that may order a promotion.
    pub holder: String,
    /// Fencing token; rises with every change of holder or successor.
    pub token: u64,
    /// When it was claimed or renewed, on the store's clock in milliseconds.
    pub claimed_at: u64,
    /// The instance it promotes.
    pub successor: InstanceId,
}

/// What a node may do about a service's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Write this lease under the condition that the row is unchanged.
    Write(FailoverLease),
    /// Another node holds it for this long.
    HeldElsewhere(Duration),
}

/// Decides on a claim. `now` is on the store's clock.
pub fn claim(
    current: Option<&FailoverLease>,
    node: &str,
    successor: &InstanceId,
    now: u64,
) -> ClaimDecision {
    let Some(current) = current else {
        return ClaimDecision::Write(lease(node, 1, now, successor));
    };
    if current.holder == node {
        let token = if current.successor == *successor {
            current.token
        } else {
            current.token + 1
        };
        return ClaimDecision::Write(lease(node, token, now, successor));
    }
    let age = Duration::from_millis(now.saturating_sub(current.claimed_at));
    match LEASE.checked_sub(age) {
        Some(left) if !left.is_zero() => ClaimDecision::HeldElsewhere(left),
        _ => ClaimDecision::Write(lease(node, current.token + 1, now, successor)),
    }
}

fn lease(node: &str, token: u64, now: u64, successor: &InstanceId) -> FailoverLease {
    FailoverLease {
        holder: node.to_owned(),
        token,
        claimed_at: now,
        successor: successor.clone(),
    }
}

/// Answers of nodes to the question whether they reach a primary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReachabilityTally {
    /// Nodes that reach it.
    pub reached: usize,
    /// Nodes that tried and did not, the asking one included.
    pub unreached: usize,
}

impl ReachabilityTally {
    /// Whether the primary is to be replaced: more nodes fail to reach it than
    /// reach it. Nodes that do not answer are not counted.
    pub fn is_lost(&self) -> bool {
        self.unreached > self.reached
    }
}

/// What an instance says of itself when asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceStatus {
    /// The instance.
    pub id: InstanceId,
    /// Its role.
    pub role: Role,
    /// The newest term it follows.
    pub term: Term,
    /// Position received, whether or not applied.
    pub received: Position,
}

/// The instance to promote: the one that has received most. `None` if none
/// may be promoted.
pub fn choose_successor<'a>(
    statuses: impl Iterator<Item = &'a InstanceStatus>,
) -> Option<&'a InstanceStatus> {
    statuses.max_by(|first, second| (first.received, &second.id).cmp(&(second.received, &first.id)))
}
