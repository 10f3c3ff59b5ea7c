//! Who reads the store, and how long followers trust a reader.

use std::time::Duration;

use linkhold_core::service::readers::{
    LARGEST_FOLLOWING_FLEET, SMALL_FLEET, Source, TRUST, is_trusted, renewal_interval, row_expiry,
    source,
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
    let half = TRUST / 2;
    assert!(is_trusted(half, Duration::ZERO));
    assert!(is_trusted(Duration::ZERO, half));
    assert!(!is_trusted(half, half));
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
