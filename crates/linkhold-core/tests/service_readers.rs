//! Which nodes read the store, and how long followers trust a reader.

use std::time::Duration;

use linkhold_core::service::readers::{
    FOLLOWER_RENEWAL_INTERVAL, Freshness, READER_EXPIRY, RENEWAL_INTERVAL, ROW_EXPIRY,
    ReaderCandidate, SMALL_FLEET, Source, choose_readers, claim_delay, link_delay,
    shed_probability, source,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

#[test]
fn all_nodes_of_a_small_fleet_read_the_store_and_few_of_a_large_one() {
    let readers = ["node-1", "node-2"];
    assert_eq!(source("node-9", &readers, SMALL_FLEET), Source::Store);
    assert_eq!(source("node-9", &readers, SMALL_FLEET + 1), Source::Readers);
    assert_eq!(source("node-2", &readers, SMALL_FLEET + 1), Source::Store);
    assert_eq!(source("node-9", &[], SMALL_FLEET + 1), Source::Store);
    for size in [400, 401, 1_000, 4_434] {
        assert_eq!(source("node-9", &readers, size), Source::Readers);
    }
}

#[test]
fn trust_includes_the_age_of_the_readers_data() {
    let freshness = Freshness::for_bound(Duration::from_secs(4));
    let half = freshness.trust_period / 2;
    assert!(freshness.is_trusted(half, Duration::ZERO));
    assert!(freshness.is_trusted(Duration::ZERO, half));
    assert!(!freshness.is_trusted(half, half));
}

/// A follower that loses a reader just before a change has to learn of it from another
/// source within the bound; a reader that only waits for changes does not count as
/// lost.
#[test]
fn trust_ends_before_the_bound_and_after_the_readers_wait() {
    for bound in [3_000, 4_000, 5_000, 6_000, 13_000].map(Duration::from_millis) {
        let freshness = Freshness::for_bound(bound);
        let other_source = Duration::from_millis(1_000);
        let beat = Duration::from_millis(500);
        assert!(freshness.trust_period + other_source <= bound, "{bound:?}");
        assert!(
            freshness.long_poll + beat < freshness.trust_period,
            "{bound:?}"
        );
    }
    let strictest = Freshness::for_bound(Duration::from_secs(3));
    assert_eq!(strictest.long_poll, Duration::from_secs(1));
    assert!(Freshness::for_bound(Duration::from_secs(6)).long_poll > strictest.long_poll);
}

/// A node without followers detects that a poll hangs, and repeats it, within the
/// bound.
#[test]
fn a_node_alone_waits_longer_and_still_learns_changes_in_time() {
    for bound in [3_000, 4_000, 5_000, 6_000, 13_000].map(Duration::from_millis) {
        let freshness = Freshness::for_bound(bound);
        let late_answer = Duration::from_millis(800);
        assert!(
            freshness.long_poll_alone >= freshness.long_poll,
            "{bound:?}"
        );
        assert!(freshness.long_poll_alone + late_answer < bound, "{bound:?}");
    }
    let strictest = Freshness::for_bound(Duration::from_secs(3));
    assert_eq!(strictest.long_poll_alone, Duration::from_secs(2));
}

fn node<'a>(zone: &'a str, name: &'a str) -> ReaderCandidate<'a> {
    ReaderCandidate {
        region: "r",
        zone,
        name,
        reads_since: None,
        may_start: true,
        bandwidth: 0,
    }
}

fn reader<'a>(zone: &'a str, name: &'a str, since: u64) -> ReaderCandidate<'a> {
    ReaderCandidate {
        reads_since: Some(since),
        ..node(zone, name)
    }
}

#[test]
fn readers_stand_in_different_zones_of_their_region() {
    let region = [
        node("b", "b-1"),
        node("a", "a-2"),
        node("a", "a-1"),
        node("b", "b-2"),
    ];
    assert_eq!(choose_readers(&region), ["a-1", "b-1"]);
    assert_eq!(choose_readers(&region[1..3]), ["a-1", "a-2"]);
    assert_eq!(choose_readers(&region[..1]), ["b-1"]);
    let with_reader = [node("a", "a-1"), node("b", "b-1"), reader("a", "a-2", 5)];
    assert_eq!(choose_readers(&with_reader), ["a-2", "b-1"]);
}

/// Guards against a choice of readers by name, by which a joining node replaced other
/// readers.
#[test]
fn nodes_that_read_stay_readers_while_others_come_and_go() {
    let region = [
        node("a", "a-1"),
        reader("a", "a-7", 20),
        node("b", "b-1"),
        reader("b", "b-9", 10),
    ];
    assert_eq!(choose_readers(&region), ["b-9", "a-7"]);
}

#[test]
fn of_too_many_readers_those_that_took_it_up_last_give_it_up() {
    let region = [
        reader("a", "a-1", 30),
        reader("a", "a-2", 10),
        reader("a", "a-3", 20),
    ];
    assert_eq!(choose_readers(&region), ["a-2", "a-3"]);
}

#[test]
fn nodes_that_cannot_be_followed_are_not_made_readers() {
    let hidden = ReaderCandidate {
        may_start: false,
        ..node("a", "a-1")
    };
    assert_eq!(choose_readers(&[hidden, node("a", "a-2")]), ["a-2"]);
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("n-{number:04}")).collect()
}

#[test]
fn a_region_of_many_nodes_has_more_readers() {
    let names = names(120);
    let region: Vec<_> = names.iter().map(|name| node("a", name)).collect();
    assert_eq!(choose_readers(&region).len(), 4);
    assert_eq!(choose_readers(&region[..60]).len(), 2);
}

/// Two readers in each region made half of all calls to the store in a fleet of 23
/// nodes.
#[test]
fn readers_stand_in_different_regions_of_their_fleet() {
    let in_region = |region, node| ReaderCandidate { region, ..node };
    let nodes = [
        in_region("r", node("a", "a-1")),
        in_region("r", node("b", "b-1")),
        in_region("s", node("c", "c-1")),
        in_region("t", node("d", "d-1")),
    ];
    assert_eq!(choose_readers(&nodes), ["a-1", "c-1"]);
    let with_reader = [
        in_region("r", node("a", "a-1")),
        in_region("s", node("c", "c-1")),
        in_region("s", reader("c", "c-2", 5)),
    ];
    assert_eq!(choose_readers(&with_reader), ["c-2", "a-1"]);
}

/// A reader with a link of 20 Mbit/s took over a second to send 30 followers a change
/// of 100 KB; in a region of 328 nodes, eleven of them read the store.
#[test]
fn readers_with_wide_links_serve_more_nodes() {
    let names = names(328);
    let region: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(number, name)| ReaderCandidate {
            bandwidth: if number % 15 == 0 { 1_000 } else { 20 },
            ..node(["a", "b"][number % 2], name)
        })
        .collect();
    let chosen = choose_readers(&region);
    let is_wide = |name: &&&str| {
        let found = region.iter().find(|it| it.name == **name);
        found.is_some_and(|it| it.bandwidth == 1_000)
    };
    assert_eq!(chosen.len(), 4);
    assert!(chosen.iter().all(|name| is_wide(&name)), "{chosen:?}");
    let even: Vec<_> = region
        .iter()
        .map(|it| ReaderCandidate {
            bandwidth: 20,
            ..*it
        })
        .collect();
    assert_eq!(choose_readers(&even).len(), 11);
    let wide: Vec<_> = region
        .iter()
        .map(|it| ReaderCandidate {
            bandwidth: 1_000,
            ..*it
        })
        .collect();
    assert_eq!(choose_readers(&wide).len(), 4);
    assert!(link_delay(20) > link_delay(1_000));
    assert_eq!(link_delay(0), Duration::ZERO);
}

/// 295 nodes that started together made 33 calls each: all read the store until they
/// knew of each other.
#[test]
fn of_many_nodes_that_start_together_few_take_up_reading() {
    const ROUNDS: usize = 200;
    /// One read and one write of the store.
    const DISCOVERY_TIME: Duration = Duration::from_millis(30);
    let mut random = StdRng::seed_from_u64(7);
    for nodes in [1, 9, 98, 295, 1_000] {
        let mut claims = 0;
        for _ in 0..ROUNDS {
            let delays: Vec<Duration> = (0..nodes).map(|_| claim_delay(random.random())).collect();
            let first = *delays.iter().min().unwrap();
            let early = delays.iter().filter(|it| **it < first + DISCOVERY_TIME);
            claims += early.count();
        }
        let mean = claims as f64 / ROUNDS as f64;
        assert!(mean < 4.0, "{nodes} nodes: {mean} take up reading");
    }
    assert_eq!(claim_delay(0.0), Duration::ZERO);
    assert!(claim_delay(1.0) <= Duration::from_millis(500));
}

/// A follower's entry may be as old as its own interval and its reader's, and a change
/// of reader, which takes as long as the reader is trusted, comes on top.
#[test]
fn a_followers_entry_outlives_a_change_of_its_reader() {
    let freshness = Freshness::for_bound(Duration::from_secs(13));
    let spread = FOLLOWER_RENEWAL_INTERVAL * 12 / 10;
    assert!(spread * 2 + freshness.trust_period < ROW_EXPIRY);
    assert!(spread * 2 <= READER_EXPIRY + Duration::from_millis(200));
}

/// A partition of the store accepts 200 writes a second from all nodes; the largest
/// fleet named has 4,434 nodes.
#[test]
fn renewals_of_all_nodes_stay_within_what_the_store_takes() {
    const MAX_WRITES_PER_SECOND: f64 = 100.0;
    for size in [SMALL_FLEET + 1, 300, 4_434] {
        let names = names(size);
        let region: Vec<_> = names.iter().map(|name| node("a", name)).collect();
        let writes = choose_readers(&region).len() as f64;
        let per_second = writes / FOLLOWER_RENEWAL_INTERVAL.as_secs_f64();
        assert!(
            per_second < MAX_WRITES_PER_SECOND,
            "{size} nodes: {per_second}"
        );
    }
    let small = SMALL_FLEET as f64 / RENEWAL_INTERVAL.as_secs_f64();
    assert!(small < MAX_WRITES_PER_SECOND);
    assert!(ROW_EXPIRY > RENEWAL_INTERVAL * 2);
}

/// Followers of each reader after some beats, and how many moved. At each beat,
/// followers are sent away with their probability and go to the readers in turn.
fn after_beats(mut served: Vec<f64>, share: usize, beats: usize) -> (Vec<f64>, f64) {
    let mut moved = 0.0;
    for _ in 0..beats {
        let leave = |count: &f64| count * shed_probability(*count as usize, share);
        let leaving: Vec<f64> = served.iter().map(leave).collect();
        let all: f64 = leaving.iter().sum();
        for (count, left) in served.iter_mut().zip(&leaving) {
            *count += all / leaving.len() as f64 - left;
        }
        moved += all;
    }
    (served, moved)
}

#[test]
fn followers_of_lost_readers_do_not_move_to_and_fro() {
    // 985 nodes follow ten readers, of which the store refuses four for nine seconds;
    // by the list they read as before.
    let (nodes, readers, lost) = (985, 10, 4);
    let share = nodes / readers;
    let left = vec![nodes as f64 / (readers - lost) as f64; readers - lost];
    let (_, moved) = after_beats(left, share, 18);
    // No follower has to move more than once for it.
    assert!(moved < (share * lost) as f64, "{moved} moved");
}

#[test]
fn uneven_readers_are_evened_out_within_a_minute() {
    let (served, _) = after_beats(vec![200.0, 50.0, 50.0], 100, 120);
    assert!(served[0] <= 130.0, "{served:?}");
}

#[test]
fn a_reader_with_its_share_sends_no_follower_away() {
    for served in 0..=127 {
        assert_eq!(shed_probability(served, 100), 0.0, "{served}");
    }
    assert!(shed_probability(128, 100) > 0.0);
}
