//! Which nodes read the platform's store, and how long a node trusts the data of a
//! reader.
//!
//! In a small fleet every node reads the store. In a larger one a few nodes do, in
//! different regions and zones if there are several, and the others follow one of them,
//! of their own region if it has any. A node that reads stays a reader until it stops,
//! so that followers do not move whenever a node joins or leaves.
//!
//! A node that starts where no node reads yet waits for a short random time before it
//! starts reading ([`claim_delay`]): of many that start together a few do, and the
//! others find them.
//!
//! # Invariant
//!
//! A follower's data is never older than [`Freshness::trust_period`]: the age of the
//! reader's last answer from the store, plus the time since the reader reported that
//! age. What is left of the bound on changes of the configuration is enough to change
//! to another source.

use std::time::Duration;

/// Largest fleet in which every node reads the store.
pub const SMALL_FLEET: usize = 16;
/// Minimum number of readers of a larger fleet: followers that lose theirs turn to
/// another one. Each reader calls the store about once a second, so that two in each of
/// three regions made 384 of 759 calls of a day of 49 s with 23 nodes.
const MIN_READERS: usize = 2;
/// Nodes that a reader serves, itself included: the first messages to so many take as
/// long as a follower waits for them, over a link of 10 Mbit/s.
const MAX_SERVED: usize = 30;
/// The same with a wide link: configuration and instances of a thousand services, about
/// 100 KB packed, reach so many in half a second.
const MAX_SERVED_WIDE: usize = 100;
/// Bandwidth from which a link is wide, in Mbit/s.
const WIDE_LINK: u32 = 200;

/// How fresh the data read from the store is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// How long the store holds a reader's long poll for changes: the usual age of its
    /// last answer, at most.
    pub long_poll: Duration,
    /// The same for a node without followers. A poll that hangs is detected and
    /// repeated within the bound.
    pub long_poll_alone: Duration,
    /// Oldest data that a follower accepts.
    pub trust_period: Duration,
    /// How long a node that has lost its readers may wait before it checks the store,
    /// and again before it reads the store: see [`super::reader_search`].
    pub search_time: Duration,
}

/// Part of the bound on changes during which a reader is trusted, in percent.
const TRUST_PERCENT: u32 = 60;
/// Part of the bound beyond the trust period that [`Freshness::search_time`] takes, in
/// percent. Four times that, a call and a read fit into the rest.
const SEARCH_PERCENT: u32 = 20;
/// Minimum and maximum time that a searching node waits for the first message of a
/// reader, which answers after a call to the store.
const FIRST_MESSAGE_TIMEOUTS: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(800)];
/// Shortest trust period.
const MIN_TRUST_PERIOD: Duration = Duration::from_millis(2_000);
/// Longest trust period: with two renewals it stays below the age at which a row
/// expires, so that a follower which loses its reader last of all is still listed.
const MAX_TRUST_PERIOD: Duration = Duration::from_millis(5_000);
/// Part of the bound that is left to detect that a poll hangs and to repeat it.
const ALONE_MARGIN: Duration = Duration::from_millis(1_000);
/// Part of the trust period that a slow answer and the time between two beats may take.
const TRUST_MARGIN: Duration = Duration::from_millis(1_000);

impl Freshness {
    /// The freshness for a bound: a change must be in force that soon. The longer the
    /// bound, the fewer calls the store receives.
    pub fn for_bound(change_bound: Duration) -> Self {
        let trust_period =
            (change_bound * TRUST_PERCENT / 100).clamp(MIN_TRUST_PERIOD, MAX_TRUST_PERIOD);
        let long_poll = trust_period - TRUST_MARGIN;
        Self {
            long_poll,
            long_poll_alone: change_bound
                .saturating_sub(ALONE_MARGIN)
                .clamp(long_poll, trust_period),
            trust_period,
            search_time: change_bound.saturating_sub(trust_period) * SEARCH_PERCENT / 100,
        }
    }

    /// How long a node waits for the first message of a reader.
    pub fn first_message_timeout(&self) -> Duration {
        let [min, max] = FIRST_MESSAGE_TIMEOUTS;
        self.search_time.clamp(min, max)
    }

    /// Whether data may be trusted whose `age` the reader reported `since` ago.
    pub fn is_trusted(&self, age: Duration, since: Duration) -> bool {
        age + since < self.trust_period
    }
}

/// A node as the choice of readers sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderCandidate<'a> {
    /// Its region.
    pub region: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Its name.
    pub name: &'a str,
    /// When it started reading, on the store's clock in milliseconds; `None` if it does
    /// not read for others.
    pub reads_since: Option<u64>,
    /// Whether it could start reading for others.
    pub may_start: bool,
    /// Bandwidth of its link in Mbit/s; 0 if it reports none.
    pub bandwidth: u32,
}

impl ReaderCandidate<'_> {
    /// Nodes that it can serve, itself included.
    fn capacity(&self) -> usize {
        if is_wide(self.bandwidth) {
            MAX_SERVED_WIDE
        } else {
            MAX_SERVED
        }
    }
}

fn is_wide(bandwidth: u32) -> bool {
    bandwidth >= WIDE_LINK
}

/// The readers among the nodes of a fleet: those that read, the longest first, then
/// others, from the regions and zones that have fewest, with wide links first, until
/// all nodes can be served.
pub fn choose_readers<'a>(nodes: &[ReaderCandidate<'a>]) -> Vec<&'a str> {
    let is_enough = |chosen: &[ReaderCandidate<'a>]| {
        let capacity: usize = chosen.iter().map(ReaderCandidate::capacity).sum();
        chosen.len() >= MIN_READERS && capacity >= nodes.len()
    };
    let mut reading: Vec<(u64, ReaderCandidate<'a>)> = nodes
        .iter()
        .filter_map(|node| Some((node.reads_since?, *node)))
        .collect();
    reading.sort_unstable_by_key(|(since, node)| (*since, node.zone, node.name));
    let mut chosen: Vec<ReaderCandidate<'a>> = Vec::new();
    for (_, node) in reading {
        if is_enough(&chosen) {
            break;
        }
        chosen.push(node);
    }
    let mut others: Vec<ReaderCandidate<'a>> = nodes
        .iter()
        .filter(|node| node.reads_since.is_none() && node.may_start)
        .copied()
        .collect();
    while !is_enough(&chosen) {
        let in_region = |region: &str| chosen.iter().filter(|it| it.region == region).count();
        let in_zone = |zone: &str| chosen.iter().filter(|node| node.zone == zone).count();
        let next = (0..others.len()).min_by_key(|index| {
            let node = others[*index];
            let is_narrow = !is_wide(node.bandwidth);
            let crowding = (in_region(node.region), in_zone(node.zone));
            (crowding, is_narrow, node.zone, node.name)
        });
        let Some(next) = next else {
            break;
        };
        chosen.push(others.swap_remove(next));
    }
    chosen.into_iter().map(|node| node.name).collect()
}

/// Longest time that a node waits before it starts reading where no node reads.
const CLAIM_WINDOW: Duration = Duration::from_millis(500);
/// Largest number of nodes starting together of which only a few end their wait first.
const CLAIM_FLEET: f64 = 512.0;

/// How long a node waits before it starts reading where no node reads, from a uniform
/// draw between 0 and 1. Delays are spread exponentially towards the end of the window,
/// as timers of receivers in a multicast group are so that few of them answer
/// (Nonnenmacher and Biersack, 1998): whatever the number of waiting nodes, few end
/// their wait within the time that it takes to find the first.
pub fn claim_delay(draw: f64) -> Duration {
    let share = (1.0 + draw.clamp(0.0, 1.0) * (CLAIM_FLEET - 1.0)).ln() / CLAIM_FLEET.ln();
    CLAIM_WINDOW.mul_f64(share)
}

/// Additional wait of a node with a narrow link: nodes with wide links are found first,
/// if there are a few of them.
const NARROW_DELAY: Duration = Duration::from_millis(350);

/// Additional wait of a node for its bandwidth in Mbit/s; none if it reports no
/// bandwidth.
pub fn link_delay(bandwidth: u32) -> Duration {
    if bandwidth == 0 || is_wide(bandwidth) {
        Duration::ZERO
    } else {
        NARROW_DELAY
    }
}

/// Age of a reader's row after which it is no longer considered a reader: two of its
/// renewals are missing.
pub const READER_EXPIRY: Duration = Duration::from_millis(7_000);
/// How long readers must have been known before the fleet that they know counts as
/// complete: nodes that start together have registered by then.
pub const SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// Longest pause between two calls to a store that does not answer, in a fleet in which
/// every node reads.
const SMALL_FLEET_RETRY_PAUSE: Duration = Duration::from_millis(400);
/// The same where few nodes read: there are several, and their calls are spread, so
/// that the first of them reaches the store again about as soon.
const LARGE_FLEET_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Longest pause between two calls to a store that does not answer.
pub fn max_retry_pause(fleet_size: usize) -> Duration {
    if has_readers(fleet_size) {
        LARGE_FLEET_RETRY_PAUSE
    } else {
        SMALL_FLEET_RETRY_PAUSE
    }
}

/// Where a node gets configuration and instances from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// One of the region's readers.
    Readers,
}

/// Divisor of the share: a reader may have this part of its share in additional
/// followers.
const IMBALANCE_DIVISOR: usize = 4;
/// Additional followers that a reader may have in any case.
const MIN_IMBALANCE: usize = 2;
/// Part of the followers in excess of that which a reader sends away at each beat: at
/// two beats a second most of them have gone after ten seconds.
const SHED_RATE: f64 = 0.05;

/// Probability that a reader sends a follower to another reader at a beat, where
/// `share` is what each reader would have. Few go at a time, and fewer the smaller the
/// excess: when each of 150 was as likely to go as if all had to, followers of readers
/// that were lost for 9 s moved to and fro between the others, 200 a second in a fleet
/// of 985, and 70 of them found no reader with room and read the store.
pub fn shed_probability(served: usize, share: usize) -> f64 {
    let allowed = share + share / IMBALANCE_DIVISOR + MIN_IMBALANCE;
    let excess = served.saturating_sub(allowed);
    SHED_RATE * excess as f64 / served.max(1) as f64
}

/// Whether only a few nodes of a fleet read the store.
pub fn has_readers(fleet_size: usize) -> bool {
    fleet_size > SMALL_FLEET
}

/// Chooses a node's source. `readers` are those of the whole fleet.
pub fn source(own: &str, readers: &[&str], fleet_size: usize) -> Source {
    if !has_readers(fleet_size) || readers.is_empty() || readers.contains(&own) {
        Source::Store
    } else {
        Source::Readers
    }
}

/// How often a node of a small fleet renews its row.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(4_000);
/// Age after which a node that has not renewed its registration no longer counts.
pub const ROW_EXPIRY: Duration = Duration::from_millis(13_000);

/// How often a follower renews its registration with its reader, and how often a reader
/// renews its own row, which lists the followers that did. Together with the change to
/// another reader, both stay below the age at which a node no longer counts.
pub const FOLLOWER_RENEWAL_INTERVAL: Duration = Duration::from_millis(3_000);
