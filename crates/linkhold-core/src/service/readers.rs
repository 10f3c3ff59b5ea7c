//! Which nodes read the platform's store, and how long a node trusts what a
//! reader tells it.
//!
//! In a small fleet every node reads the store. In a larger one a few nodes do, in
//! different regions and zones if there are some, and the others follow one of them, of
//! their own region if it has any. A node that reads stays a reader as long as it lives, so that
//! followers do not move whenever a node comes or goes.
//!
//! A node that starts where nobody reads yet waits for a short random time
//! before it takes up reading ([`claim_delay`]): of many that start together a
//! few do, and the others find them.
//!
//! # Invariant
//!
//! A follower's knowledge is never older than [`Freshness::trust_period`]: the age of
//! the reader's last answer from the store, plus the time since the reader said
//! so. What is left of the bound on changes of the configuration is enough to
//! change to another source.

use std::time::Duration;

/// Largest fleet in which every node reads the store.
pub const SMALL_FLEET: usize = 16;
/// Readers of a larger fleet, at the least: followers that lose theirs turn to another one.
/// Each asks the store about once a second, so that two in each of three regions made 384
/// of 759 calls of a day of 49 s with 23 nodes.
const LEAST_READERS: usize = 2;
/// Followers that a reader serves, itself included: the first words to so many take as long
/// as a follower waits for them, over a link of 10 Mbit/s.
const SEATS: usize = 30;
/// The same with a wide link: configuration and instances of a thousand services, about
/// 100 KB packed, reach so many in half a second.
const WIDE_SEATS: usize = 100;
/// Bandwidth from which a link is wide, in Mbit/s.
const WIDE_LINK: u32 = 200;

/// How fresh knowledge of the store is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// How long the store holds a reader's question for changes: the usual age
    /// of its last answer, at the most.
    pub long_poll: Duration,
    /// The same for a node that nobody follows: a question that hangs is found
    /// out and asked again within the bound.
    pub long_poll_alone: Duration,
    /// Oldest knowledge that a follower accepts.
    pub trust_period: Duration,
    /// How long a node that has lost its readers may wait before it asks the
    /// store, and again before it reads it: see [`super::reader_search`].
    pub search_time: Duration,
}

/// Part of the bound on changes during which a reader is trusted, in percent.
const TRUST_PERCENT: u32 = 60;
/// Part of what trust leaves of the bound that [`Freshness::search_time`] takes, in
/// percent. Four times that, a call and a reading fit into the rest.
const SEARCH_PERCENT: u32 = 20;
/// How long a node that looks for a reader may wait for the first word of one,
/// at least and at most: it answers after a call to the store.
const FIRST_WORD_TIMES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(800)];
/// Shortest trust.
const LEAST_TRUST: Duration = Duration::from_millis(2_000);
/// Longest trust: with two renewals it stays below the age at which a row expires, so that a
/// follower that loses its reader last of all is still listed.
const MOST_TRUST: Duration = Duration::from_millis(5_000);
/// What of the bound is left to find out that a question hangs and to ask anew.
const ALONE_MARGIN: Duration = Duration::from_millis(1_000);
/// What a slow answer and the time between two beats may take of the trust.
const TRUST_MARGIN: Duration = Duration::from_millis(1_000);

impl Freshness {
    /// The freshness that a bound needs: a change must be in force that soon.
    /// The longer it is, the fewer questions the store is asked.
    pub fn for_bound(change_bound: Duration) -> Self {
        let trust_period = (change_bound * TRUST_PERCENT / 100).clamp(LEAST_TRUST, MOST_TRUST);
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

    /// How long a node waits for the first word of a reader.
    pub fn first_message_timeout(&self) -> Duration {
        let [least, most] = FIRST_WORD_TIMES;
        self.search_time.clamp(least, most)
    }

    /// Whether knowledge may be trusted: `age` as the reader told it, `since`
    /// then.
    pub fn is_trusted(&self, age: Duration, since: Duration) -> bool {
        age + since < self.trust_period
    }
}

/// A node as far as the choice of readers goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderCandidate<'a> {
    /// Its region.
    pub region: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Its name.
    pub name: &'a str,
    /// When it took up reading, on the store's clock in milliseconds; `None` if
    /// it does not read for others.
    pub reads_since: Option<u64>,
    /// Whether it could take up reading for others.
    pub may_start: bool,
    /// Bandwidth of its link in Mbit/s; 0 if it tells none.
    pub bandwidth: u32,
}

impl ReaderCandidate<'_> {
    /// Nodes that it serves, itself included.
    fn seats(&self) -> usize {
        if is_wide(self.bandwidth) {
            WIDE_SEATS
        } else {
            SEATS
        }
    }
}

fn is_wide(bandwidth: u32) -> bool {
    bandwidth >= WIDE_LINK
}

/// The readers among the nodes of a fleet: those that read, the longest first, then others,
/// from the regions and zones that have fewest, with wide links, until all nodes have a place.
pub fn choose_readers<'a>(nodes: &[ReaderCandidate<'a>]) -> Vec<&'a str> {
    let are_enough = |chosen: &[ReaderCandidate<'a>]| {
        let seats: usize = chosen.iter().map(ReaderCandidate::seats).sum();
        chosen.len() >= LEAST_READERS && seats >= nodes.len()
    };
    let mut reading: Vec<(u64, ReaderCandidate<'a>)> = nodes
        .iter()
        .filter_map(|node| Some((node.reads_since?, *node)))
        .collect();
    reading.sort_unstable_by_key(|(since, node)| (*since, node.zone, node.name));
    let mut chosen: Vec<ReaderCandidate<'a>> = Vec::new();
    for (_, node) in reading {
        if are_enough(&chosen) {
            break;
        }
        chosen.push(node);
    }
    let mut others: Vec<ReaderCandidate<'a>> = nodes
        .iter()
        .filter(|node| node.reads_since.is_none() && node.may_start)
        .copied()
        .collect();
    while !are_enough(&chosen) {
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

/// Longest time that a node waits before it takes up reading where nobody does.
const CLAIM_WINDOW: Duration = Duration::from_millis(500);
/// Nodes that may start together so that a few of them end their wait first.
const CLAIM_FLEET: f64 = 512.0;

/// How long a node waits before it takes up reading where nobody does, from a
/// uniform draw between 0 and 1. Delays are spread exponentially towards the
/// end of the window, as timers of receivers in a multicast group are so that
/// few of them answer (Nonnenmacher and Biersack, 1998): whatever the number of
/// nodes that wait, few end their wait within the time that it takes the first
/// to be found.
pub fn claim_delay(draw: f64) -> Duration {
    let share = (1.0 + draw.clamp(0.0, 1.0) * (CLAIM_FLEET - 1.0)).ln() / CLAIM_FLEET.ln();
    CLAIM_WINDOW.mul_f64(share)
}

/// How much longer a node with a narrow link waits: those with wide ones are found first, if
/// there are a few of them.
const NARROW_DELAY: Duration = Duration::from_millis(350);

/// How much longer a node waits for its link's sake. One that tells no bandwidth does not.
pub fn link_delay(bandwidth: u32) -> Duration {
    if bandwidth == 0 || is_wide(bandwidth) {
        Duration::ZERO
    } else {
        NARROW_DELAY
    }
}

/// Age of a reader's row after which it is no longer taken to read: two of its
/// renewals have not come.
pub const READER_EXPIRY: Duration = Duration::from_millis(7_000);
/// How long readers must have been there before the fleet that they know counts
/// as whole: nodes that start together have registered by then.
pub const SETTLING_TIME: Duration = Duration::from_millis(2_500);

/// Longest pause between two tries of a store that gives no answer, in a fleet
/// in which every node reads.
const EACH_PAUSE: Duration = Duration::from_millis(400);
/// The same where few nodes read: there are several, and their tries are spread,
/// so the first of them finds the store back about as soon.
const READERS_PAUSE: Duration = Duration::from_millis(800);

/// Longest pause between two tries of a store that gives no answer.
pub fn max_retry_pause(fleet_size: usize) -> Duration {
    if has_readers(fleet_size) {
        READERS_PAUSE
    } else {
        EACH_PAUSE
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

/// A reader may have this part more followers than its share, as a divisor.
const UNEVEN_PART: usize = 4;
/// And this many more in any case.
const UNEVEN_AT_LEAST: usize = 2;
/// Part of the followers beyond that which a reader sends away at a beat: at two beats a
/// second most of them have gone after ten seconds.
const SHED_PART: f64 = 0.05;

/// How likely a reader sends one of its followers to another reader at a beat, where
/// `share` is what each reader would have. Few go at a time, and fewer the less there is to
/// even out: when each of 150 was as likely to go as if all had to, followers of readers
/// that were lost for 9 s moved to and fro between the others, 200 a second in a fleet of
/// 985, and 70 of them found no place and read the store.
pub fn shed_probability(served: usize, share: usize) -> f64 {
    let most = share + share / UNEVEN_PART + UNEVEN_AT_LEAST;
    let beyond = served.saturating_sub(most);
    SHED_PART * beyond as f64 / served.max(1) as f64
}

/// Whether few nodes of a fleet read the store.
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
/// Age after which a node that has not renewed its registration no longer
/// counts.
pub const ROW_EXPIRY: Duration = Duration::from_millis(13_000);

/// How often a follower tells its reader that it lives, and how often a reader
/// renews its own row, which lists those that did. Together with the change to
/// another reader, both stay below the age at which a node no longer counts.
pub const FOLLOWER_RENEWAL_INTERVAL: Duration = Duration::from_millis(3_000);
