//! Which nodes read the platform's store, and how long a node trusts what a
//! reader tells it.
//!
//! In a small fleet every node reads the store. In a larger one the first nodes
//! of each zone by name do, and the others follow one of them: a node finds
//! them by reading a few rows, however large the fleet is. A follower that
//! hears nothing, or only from a reader that has itself lost the store, reads
//! the store again.
//!
//! # Invariant
//!
//! A follower's knowledge is never older than [`TRUST`]: the age of the
//! reader's last answer from the store, plus the time since the reader said so.

use std::time::Duration;

/// Largest fleet in which every node reads the store.
pub const SMALL_FLEET: usize = 16;
/// Readers in each zone of a larger fleet.
pub const READERS_PER_ZONE: usize = 2;
/// Oldest knowledge that a follower accepts.
pub const TRUST: Duration = Duration::from_millis(2_000);
/// Nodes that a reader names to its followers, for questions between nodes.
pub const SAMPLE: usize = 24;

/// Where a node gets configuration and instances from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the store.
    Store,
    /// From one of the zone's readers.
    Readers,
}

/// Chooses a node's source. `readers` are the zone's first nodes by name.
pub fn source(own: &str, readers: &[&str], fleet_size: usize) -> Source {
    if fleet_size <= SMALL_FLEET || readers.is_empty() || readers.contains(&own) {
        Source::Store
    } else {
        Source::Readers
    }
}

/// Whether knowledge may be trusted: `age` as the reader told it, `since` then.
pub fn is_trusted(age: Duration, since: Duration) -> bool {
    age + since < TRUST
}

/// Shortest time between two renewals of a node's row.
const SHORTEST_RENEWAL: Duration = Duration::from_millis(4_000);
/// Renewals of all nodes together in a second.
const RENEWALS_PER_SECOND: usize = 40;
/// Age of a row, in renewals, after which its node no longer counts.
const EXPIRY_RENEWALS: u32 = 3;

/// How often a node renews its row in a fleet of this size, so that all
/// renewals together stay within what the store takes.
pub fn renewal_interval(fleet_size: usize) -> Duration {
    let spread = Duration::from_secs((fleet_size / RENEWALS_PER_SECOND) as u64);
    SHORTEST_RENEWAL.max(spread)
}

/// Age at which a row no longer counts.
pub fn row_expiry(fleet_size: usize) -> Duration {
    renewal_interval(fleet_size) * EXPIRY_RENEWALS + Duration::from_secs(1)
}
