//! How many connections to an instance one node may hold.
//!
//! An instance bounds the connections of all callers together. Each node takes
//! an equal part, less a reserve: connections of a node that lost power still
//! stand for some seconds while its next life opens new ones.
//!
//! Where nodes are so many that equal parts are of no use, few nodes hold the
//! connections for all ([`super::owners`]).

use std::time::Duration;

use super::owners;

/// Connections below which a fair share is of no use: a transaction holds one
/// for as long as its caller thinks.
const LEAST_USEFUL: usize = 2;
/// Connections that a node which is no owner may hold at a time.
const WITHOUT_OWNER: usize = 3;
/// How long such a node keeps a connection that it does not use: the fewer
/// stand idle, the more nodes get one.
const WITHOUT_OWNER_IDLE: Duration = Duration::from_millis(50);

/// Part of its share that an owner keeps open, as a divisor: where services are many, each is
/// asked for less than once in the time after which an unused connection is closed, and two
/// requests of three opened a new one. What stands after a loss of all nodes leaves room for
/// three times as many.
const KEPT_DIVISOR: usize = 4;

/// What a node may hold to one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Connections at a time.
    pub limit: usize,
    /// After which time without use one is closed; `None`: never.
    pub idle_for: Option<Duration>,
    /// Connections that stay all the same, the last that were used.
    pub kept: usize,
}

/// Whether so many nodes share a limit that connections cannot be held ready
/// by each of them.
pub fn is_crowded(limit: usize, nodes: usize) -> bool {
    shared(limit) / nodes.max(1) < LEAST_USEFUL
}

/// The share of one of `nodes` nodes that all hold connections.
pub fn equal(limit: usize, nodes: usize, has_just_started: bool) -> Share {
    let most = if has_just_started {
        of_starting_node(limit, nodes)
    } else {
        of_node(limit, nodes)
    };
    Share {
        limit: most,
        idle_for: None,
        kept: most,
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

/// What a node may hold that is no owner: for when it finds none.
pub fn without_owner(limit: usize) -> Share {
    Share {
        limit: WITHOUT_OWNER.min(limit),
        idle_for: Some(WITHOUT_OWNER_IDLE),
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

/// The share of a node that has just started, while connections of its last
/// life may still stand: its part of what is not shared out, at least one. A
/// fleet that lost power as a whole stays within the limit.
pub fn of_starting_node(limit: usize, nodes: usize) -> usize {
    let nodes = nodes.max(1);
    let reserve = limit.saturating_sub(of_node(limit, nodes) * nodes);
    (reserve / nodes).clamp(1, of_node(limit, nodes))
}

fn shared(limit: usize) -> usize {
    limit * SHARED_PERCENT / 100
}
