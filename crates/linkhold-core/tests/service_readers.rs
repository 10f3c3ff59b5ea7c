//! Who reads the store, and how long followers trust a reader.

use std::time::Duration;

use linkhold_core::service::readers::{
    SMALL_FLEET, Source, TRUST, is_trusted, renewal_interval, row_expiry, source,
};

#[test]
fn all_nodes_of_a_small_fleet_read_the_store_and_few_of_a_large_one() {
    let readers = ["node-1", "node-2"];
    assert_eq!(source("node-9", &readers, SMALL_FLEET), Source::Store);
    assert_eq!(source("node-9", &readers, SMALL_FLEET + 1), Source::Readers);
    assert_eq!(source("node-2", &readers, 4_434), Source::Store);
    assert_eq!(source("node-9", &[], 4_434), Source::Store);
}

#[test]
fn trust_covers_the_readers_own_age() {
    let half = TRUST / 2;
    assert!(is_trusted(half, Duration::ZERO));
    assert!(is_trusted(Duration::ZERO, half));
    assert!(!is_trusted(half, half));
}

#[test]
fn renewals_of_any_fleet_stay_within_what_the_store_takes() {
    for size in [1, 16, 300, 4_434, 20_000] {
        let a_second = size as f64 / renewal_interval(size).as_secs_f64();
        assert!(a_second < 45.0, "{size} nodes: {a_second}");
        assert!(row_expiry(size) > renewal_interval(size) * 2);
    }
}
