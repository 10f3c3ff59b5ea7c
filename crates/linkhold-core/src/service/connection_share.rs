//! How many connections to an instance one node may hold.
//!
//! An instance limits the connections of all callers together. Each node takes an equal
//! share, less a reserve: connections of a node that lost power still exist for some
//! seconds while the restarted node opens new ones.
//!
//! Where there are so many nodes that equal shares would be too small to be useful, a
//! few nodes hold the connections for all ([`super::owners`]).

use std::time::Duration;

use super::owners;

/// Connections below which an equal share is not useful: a transaction holds one for as
/// long as its caller takes between statements.
const MIN_USEFUL: usize = 2;
/// Connections that a node which is not an owner may hold at a time.
const NON_OWNER_LIMIT: usize = 3;
/// How long such a node keeps an idle connection: the fewer are idle, the more nodes
/// get one.
const NON_OWNER_IDLE_TIMEOUT: Duration = Duration::from_millis(50);

/// Divisor for the part of its share that an owner keeps open: where there are many
/// services, each is used less than once in the time after which an idle connection is
/// closed, and two requests of three opened a new one. The connections that still exist
/// after a loss of all nodes leave room for three times as many.
const KEPT_DIVISOR: usize = 4;

/// Connections that a node may hold to one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Connections at a time.
    pub limit: usize,
    /// Time without use after which a connection is closed; `None` is never.
    pub idle_for: Option<Duration>,
    /// Most recently used connections that stay open even when idle.
    pub kept: usize,
}

/// Whether so many nodes share a limit that not each of them can keep connections open.
pub fn needs_owners(limit: usize, nodes: usize) -> bool {
    shared(limit) / nodes.max(1) < MIN_USEFUL
}

/// The share of one of `nodes` nodes that all hold connections.
pub fn equal(limit: usize, nodes: usize, has_just_started: bool) -> Share {
    let allowed = if has_just_started {
        of_starting_node(limit, nodes)
    } else {
        of_node(limit, nodes)
    };
    Share {
        limit: allowed,
        idle_for: None,
        kept: allowed,
    }
}

/// The share of one of `owners` nodes that hold connections for all.
pub fn of_owner(limit: usize, owners: usize) -> Share {
    let limit = owners::share(limit, owners);
    Share {
        limit,
        idle_for: Some(owners::OWNER_IDLE_TIMEOUT),
        kept: limit / KEPT_DIVISOR,
    }
}

/// The share of a node that is not an owner, for when it finds none.
pub fn of_non_owner(limit: usize) -> Share {
    Share {
        limit: NON_OWNER_LIMIT.min(limit),
        idle_for: Some(NON_OWNER_IDLE_TIMEOUT),
        kept: 0,
    }
}

/// Limit assumed for a service whose limit is not known.
pub const UNKNOWN_LIMIT: usize = 20;
/// Part of the limit that is shared out, in percent.
const SHARED_PERCENT: usize = 60;

/// The share of one of `nodes` nodes in `limit` connections; at least one.
pub fn of_node(limit: usize, nodes: usize) -> usize {
    (shared(limit) / nodes.max(1)).max(1)
}

/// The share of a node that has just started, while connections from before its restart
/// may still exist: its part of what is not shared out, at least one. So a fleet that
/// lost power as a whole stays within the limit.
pub fn of_starting_node(limit: usize, nodes: usize) -> usize {
    let nodes = nodes.max(1);
    let reserve = limit.saturating_sub(of_node(limit, nodes) * nodes);
    (reserve / nodes).clamp(1, of_node(limit, nodes))
}

fn shared(limit: usize) -> usize {
    limit * SHARED_PERCENT / 100
}
