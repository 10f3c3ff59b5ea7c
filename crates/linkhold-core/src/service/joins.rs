//! Which nodes may be missing in a list of nodes that was adopted some time ago.
//!
//! A node that cannot read the store asks the nodes that it knows to agree to a
//! replacement. Nodes may have been added since it learnt of the others.
//!
//! # Invariant
//!
//! A list is at most [`MAX_LIST_LAG`] older than its adoption. A node that such a list
//! lacks, and that another node knows, was therefore first seen by that node no longer
//! before the adoption than this: [`JoinTimes::since`] names it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How much older than its adoption a list may be: followers get it from readers, which
/// may have lost the store for as long as their lists are trusted.
pub const MAX_LIST_LAG: Duration = Duration::from_secs(15);

/// Maximum number of nodes that are named: their addresses fit into a datagram of 1,400
/// bytes, in the longest form that an IPv6 address and its port have.
pub const MAX_NAMED: usize = 24;

/// Since when each node has been known.
#[derive(Clone, Debug, Default)]
pub struct JoinTimes {
    first_seen: BTreeMap<SocketAddr, Instant>,
}

impl JoinTimes {
    /// Records the nodes that are known at a moment.
    pub fn record(&mut self, present: impl IntoIterator<Item = SocketAddr>, now: Instant) {
        let seen = present.into_iter().map(|node| {
            let since = self.first_seen.get(&node).copied();
            (node, since.unwrap_or(now))
        });
        self.first_seen = seen.collect();
    }

    /// The nodes that a list may lack which another node adopted this long ago; `None`
    /// if there are too many to name.
    pub fn since(&self, list_age: Duration, now: Instant) -> Option<Vec<SocketAddr>> {
        let span = list_age.saturating_add(MAX_LIST_LAG);
        let is_late = |since: &Instant| now.saturating_duration_since(*since) <= span;
        let late = self.first_seen.iter().filter(|(_, since)| is_late(since));
        let nodes: Vec<SocketAddr> = late.map(|(node, _)| *node).collect();
        (nodes.len() <= MAX_NAMED).then_some(nodes)
    }
}
