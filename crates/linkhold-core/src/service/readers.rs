//! Which nodes read the platform's store, and how long a node trusts what a
//! reader tells it.
//!
//! In a small fleet every node reads the store. In a larger one the first nodes
//! of each zone by name do, and the others follow one of them. A follower that
//! hears nothing, or only from a reader that has itself lost the store, reads
//! the store again. Over [`LARGEST_FOLLOWING_FLEET`] a reader has more followers
//! than it can tell a large configuration within [`TRUST`], and all of them
//! would go back to the store at once: there every node reads the store.
//!
//! # Invariant
//!
//! A follower's knowledge is never older than [`TRUST`]: the age of the
//! reader's last answer from the store, plus the time since the reader said so.

use std::time::Duration;

/// Largest fleet in which every node reads the store.
pub const SMALL_FLEET: usize = 16;
/// Largest fleet in which nodes follow readers.
pub const LARGEST_FOLLOWING_FLEET: usize = 128;
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
    let may_follow = fleet_size > SMALL_FLEET && fleet_size <= LARGEST_FOLLOWING_FLEET;
    if !may_follow || readers.is_empty() || readers.contains(&own) {
        Source::Store
    } else {
        Source::Readers
    }
}

/// Whether knowledge may be trusted: `age` as the reader told it, `since` then.
pub fn is_trusted(age: Duration, since: Duration) -> bool {
    age + since < TRUST
}

/// Time between two renewals of a node's row while the fleet is counted.
const RENEWAL: Duration = Duration::from_millis(4_000);
/// The same in a fleet that is larger than is counted, so that all renewals
/// together stay within what the store takes.
const UNCOUNTED_RENEWAL: Duration = Duration::from_millis(12_000);
/// Age of a row, in renewals, after which its node no longer counts.
const EXPIRY_RENEWALS: u32 = 3;

/// How often a node renews its row. Fleets are counted up to one node more
/// than [`LARGEST_FOLLOWING_FLEET`].
pub fn renewal_interval(fleet_size: usize) -> Duration {
    if fleet_size > LARGEST_FOLLOWING_FLEET {
        UNCOUNTED_RENEWAL
    } else {
        RENEWAL
    }
}

/// Age at which a row no longer counts.
pub fn row_expiry(fleet_size: usize) -> Duration {
    renewal_interval(fleet_size) * EXPIRY_RENEWALS + Duration::from_secs(1)
}
