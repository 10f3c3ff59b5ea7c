//! Who reads the store, and how long followers trust a reader.

use std::time::Duration;

use linkhold_core::service::readers::{
    FOLLOWER_RENEWAL, Freshness, LARGEST_FOLLOWING_FLEET, ReaderCandidate, SMALL_FLEET, Source,
    choose_readers, longest_pause, renewal_interval, row_expiry, source,
};

#[test]
fn all_nodes_of_a_small_fleet_read_the_store_and_few_of_a_large_one() {
    let readers = ["node-1", "node-2"];
    assert_eq!(source("node-9", &readers, SMALL_FLEET), Source::Store);
    assert_eq!(source("node-9", &readers, SMALL_FLEET + 1), Source::Readers);
    assert_eq!(source("node-2", &readers, SMALL_FLEET + 1), Source::Store);
    assert_eq!(source("node-9", &[], SMALL_FLEET + 1), Source::Store);
    let largest = LARGEST_FOLLOWING_FLEET;
    assert_eq!(source("node-9", &readers, largest), Source::Readers);
    assert_eq!(source("node-9", &readers, largest + 1), Source::Store);
}

#[test]
fn trust_covers_the_readers_own_age() {
    let freshness = Freshness::for_bound(Duration::from_secs(4));
    let half = freshness.trust / 2;
    assert!(freshness.is_trusted(half, Duration::ZERO));
    assert!(freshness.is_trusted(Duration::ZERO, half));
    assert!(!freshness.is_trusted(half, half));
}

/// A follower that loses a reader just before a change has to learn it from
/// another source within the bound; a reader that only waits is not lost.
#[test]
fn trust_ends_before_the_bound_and_after_the_readers_wait() {
    for bound in [3_000, 4_000, 5_000, 6_000, 13_000].map(Duration::from_millis) {
        let freshness = Freshness::for_bound(bound);
        let other_source = Duration::from_millis(1_000);
        let beat = Duration::from_millis(500);
        assert!(freshness.trust + other_source <= bound, "{bound:?}");
        assert!(freshness.wait + beat < freshness.trust, "{bound:?}");
    }
    let strictest = Freshness::for_bound(Duration::from_secs(3));
    assert_eq!(strictest.wait, Duration::from_secs(1));
    assert!(Freshness::for_bound(Duration::from_secs(6)).wait > strictest.wait);
}

/// A node that nobody follows finds out that a question hangs, and asks again,
/// within the bound.
#[test]
fn a_node_alone_waits_longer_and_still_learns_changes_in_time() {
    for bound in [3_000, 4_000, 5_000, 6_000, 13_000].map(Duration::from_millis) {
        let freshness = Freshness::for_bound(bound);
        let late_answer = Duration::from_millis(800);
        assert!(freshness.wait_alone >= freshness.wait, "{bound:?}");
        assert!(freshness.wait_alone + late_answer < bound, "{bound:?}");
    }
    let strictest = Freshness::for_bound(Duration::from_secs(3));
    assert_eq!(strictest.wait_alone, Duration::from_secs(2));
}

fn node<'a>(zone: &'a str, name: &'a str) -> ReaderCandidate<'a> {
    ReaderCandidate { zone, name }
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
}

#[test]
fn a_region_of_many_nodes_has_more_readers() {
    let names: Vec<String> = (0..120).map(|number| format!("n-{number:03}")).collect();
    let region: Vec<_> = names.iter().map(|name| node("a", name)).collect();
    assert_eq!(choose_readers(&region).len(), 4);
    assert_eq!(choose_readers(&region[..60]).len(), 2);
}

/// In an outage of 5 s each of 73 nodes made five calls a second.
#[test]
fn nodes_with_readers_to_follow_leave_a_lost_store_to_them() {
    let follower = longest_pause(Source::Readers, true);
    assert!(follower > longest_pause(Source::Store, true) * 4);
    let starting = longest_pause(Source::Readers, false);
    assert_eq!(starting, longest_pause(Source::Store, false));
}

/// A follower's row may be as old as its own interval and its reader's, and a
/// change of reader, which takes as long as it is trusted, comes on top.
#[test]
fn a_followers_row_outlives_a_change_of_its_reader() {
    let freshness = Freshness::for_bound(Duration::from_secs(13));
    let spread = FOLLOWER_RENEWAL * 12 / 10;
    assert!(spread * 2 + freshness.trust < row_expiry(SMALL_FLEET + 1));
}

/// The store takes 600 writes a second from all nodes; the largest fleet named
/// has 4,434 nodes.
#[test]
fn renewals_of_all_nodes_stay_within_what_the_store_takes() {
    for size in [1, 16, 128, 129, 300, 4_434] {
        let a_second = size as f64 / renewal_interval(size).as_secs_f64();
        assert!(a_second < 400.0, "{size} nodes: {a_second}");
        assert!(row_expiry(size) > renewal_interval(size) * 2);
    }
}
