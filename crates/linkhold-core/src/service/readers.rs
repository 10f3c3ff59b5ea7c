//! Which nodes read the platform's store, and how long a node trusts what a
//! reader tells it.
//!
//! In a small fleet every node reads the store. In a larger one a few nodes of
//! each region do, in different zones if there are some, and the others follow
//! one of them. A follower that hears nothing, or only from a reader that has
//! itself lost the store, reads the store again. Over
//! [`LARGEST_FOLLOWING_FLEET`] a reader has more followers than it can tell a
//! large configuration in time, and all of them would go back to the store at
//! once: there every node reads the store.
//!
//! # Invariant
//!
//! A follower's knowledge is never older than [`Freshness::trust`]: the age of
//! the reader's last answer from the store, plus the time since the reader said
//! so. What is left of the bound on changes of the configuration is enough to
//! change to another source.

use std::time::Duration;

/// Largest fleet in which every node reads the store.
pub const SMALL_FLEET: usize = 16;
/// Largest fleet in which nodes follow readers.
pub const LARGEST_FOLLOWING_FLEET: usize = 400;
/// Readers in each region of a larger fleet, at the least.
const LEAST_READERS: usize = 2;
/// Nodes of a region for each of its readers, at the most.
const NODES_PER_READER: usize = 30;

/// How fresh knowledge of the store is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// How long the store holds a reader's question for changes: the usual age
    /// of its last answer, at the most.
    pub wait: Duration,
    /// The same for a node that nobody follows: a question that hangs is found
    /// out and asked again within the bound.
    pub wait_alone: Duration,
    /// Oldest knowledge that a follower accepts.
    pub trust: Duration,
}

/// Part of the bound on changes during which a reader is trusted, in percent.
const TRUST_PERCENT: u32 = 60;
/// Shortest trust.
const LEAST_TRUST: Duration = Duration::from_millis(2_000);
/// Longest trust.
const MOST_TRUST: Duration = Duration::from_millis(4_000);
/// What of the bound is left to find out that a question hangs and to ask anew.
const ALONE_MARGIN: Duration = Duration::from_millis(1_000);
/// What a slow answer and the time between two beats may take of the trust.
const TRUST_MARGIN: Duration = Duration::from_millis(1_000);

impl Freshness {
    /// The freshness that a bound needs: a change must be in force that soon.
    /// The longer it is, the fewer questions the store is asked.
    pub fn for_bound(change_bound: Duration) -> Self {
        let trust = (change_bound * TRUST_PERCENT / 100).clamp(LEAST_TRUST, MOST_TRUST);
        let wait = trust - TRUST_MARGIN;
        Self {
            wait,
            wait_alone: change_bound.saturating_sub(ALONE_MARGIN).clamp(wait, trust),
            trust,
        }
    }

    /// Whether knowledge may be trusted: `age` as the reader told it, `since`
    /// then.
    pub fn is_trusted(&self, age: Duration, since: Duration) -> bool {
        age + since < self.trust
    }
}

/// A node as far as the choice of readers goes; ordered by zone, then name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReaderCandidate<'a> {
    /// Its zone.
    pub zone: &'a str,
    /// Its name.
    pub name: &'a str,
}

/// The readers among the nodes of a region: the first of each zone by name in
/// turn, then the second of each, until there are enough.
pub fn choose_readers<'a>(region: &[ReaderCandidate<'a>]) -> Vec<&'a str> {
    let mut sorted = region.to_vec();
    sorted.sort_unstable();
    let mut ranked: Vec<(usize, ReaderCandidate<'a>)> = sorted
        .chunk_by(|first, second| first.zone == second.zone)
        .flat_map(|zone| zone.iter().copied().enumerate())
        .collect();
    ranked.sort_unstable();
    let wanted = LEAST_READERS.max(region.len().div_ceil(NODES_PER_READER));
    ranked.truncate(wanted);
    ranked.into_iter().map(|(_, node)| node.name).collect()
}

/// Longest pause between two tries of a node that reads the store for itself or
/// for others, while the store gives no answer.
const READERS_PAUSE: Duration = Duration::from_millis(400);
/// The same for one that has readers to follow: they find out that the store is
/// back, and that costs a call for each of them, not for each node.
const FOLLOWERS_PAUSE: Duration = Duration::from_millis(2_000);

/// Longest pause between two tries of a store that gives no answer. A node that
/// cannot serve yet has nothing to wait with.
pub fn longest_pause(source: Source, can_serve: bool) -> Duration {
    match source {
        Source::Readers if can_serve => FOLLOWERS_PAUSE,
        Source::Readers | Source::Store => READERS_PAUSE,
    }
}

/// Where a node gets configuration and instances from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the store.
    Store,
    /// From one of the region's readers.
    Readers,
}

/// Whether few nodes of a fleet read the store.
pub fn has_readers(fleet_size: usize) -> bool {
    fleet_size > SMALL_FLEET && fleet_size <= LARGEST_FOLLOWING_FLEET
}

/// Chooses a node's source. `readers` are those of its region.
pub fn source(own: &str, readers: &[&str], fleet_size: usize) -> Source {
    if !has_readers(fleet_size) || readers.is_empty() || readers.contains(&own) {
        Source::Store
    } else {
        Source::Readers
    }
}

/// Time between two renewals of a node's row while the fleet is counted.
const RENEWAL: Duration = Duration::from_millis(4_000);
/// The same in a fleet that is larger than is counted, so that all renewals
/// together stay within what the store takes.
const UNCOUNTED_RENEWAL: Duration = Duration::from_millis(12_000);
/// Age of a row, in renewals, after which its node no longer counts.
const EXPIRY_RENEWALS: u32 = 3;

/// How often a follower tells its reader that it lives, and how often a reader
/// renews the rows of those that did. Together with the change to another
/// reader, both stay below the age at which a row no longer counts.
pub const FOLLOWER_RENEWAL: Duration = Duration::from_millis(3_000);

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
