//! Decoding of the rows by which nodes register.

use std::time::{Duration, Instant};

use linkhold_core::service::store_revision::{Era, StoreRevision};
use linkhold_gateway::ports::{StoredRow, StoredRows};
use linkhold_gateway::registry::{PEER_KEY_ROW, Registration, Registry, encode_row};
use linkhold_peer::FeedNode;

fn node(name: &str) -> FeedNode {
    FeedNode {
        name: name.to_owned(),
        zone: "a".to_owned(),
        address: "127.0.0.1:7".parse().ok(),
        bandwidth: 20,
    }
}

fn follower(name: &str, age_ms: u64) -> Registration {
    Registration {
        node: node(name),
        age: Duration::from_millis(age_ms),
    }
}

/// A node's row, written at a time on the store's clock in milliseconds.
fn row(
    name: &str,
    reads_since: Option<u64>,
    followers: &[Registration],
    written_at: u64,
) -> StoredRow {
    let row = encode_row(node(name), reads_since, followers, written_at).unwrap();
    StoredRow {
        key: row.key,
        value: row.value,
        version: StoreRevision::new(Era::default(), 1),
    }
}

fn registry(rows: Vec<StoredRow>, now: u64) -> Registry {
    let era = Era::default();
    Registry::decode(&StoredRows { rows, now, era }, Instant::now(), "own")
}

#[test]
fn a_follower_counts_as_of_the_row_that_heard_of_it_last() {
    let rows = vec![
        row("r-1", Some(0), &[follower("f", 500)], 20_000),
        row("r-2", Some(0), &[follower("f", 100)], 18_000),
    ];
    let known = registry(rows, 21_000);
    let age = |name: &str| known.members[name].registration.age;
    assert_eq!(age("f"), Duration::from_millis(1_500));
    assert_eq!(age("r-2"), Duration::from_millis(3_000));
    assert_eq!(known.present_members().count(), 3);
}

#[test]
fn a_reader_that_follows_another_now_reads_no_more() {
    let rows = vec![
        row("r-1", Some(0), &[], 20_000),
        row("r-2", Some(0), &[follower("r-1", 0)], 21_000),
    ];
    let known = registry(rows, 21_000);
    assert_eq!(known.members["r-1"].active_reader_since(), None);
    assert_eq!(known.members["r-2"].active_reader_since(), Some(0));
}

#[test]
fn former_nodes_are_listed_and_do_not_count() {
    let rows = vec![row("r-1", Some(0), &[follower("f", 12_000)], 20_000)];
    let known = registry(rows, 22_000);
    assert!(known.members.contains_key("f"));
    let present: Vec<&str> = known
        .present_members()
        .map(|it| it.registration.node.name.as_str())
        .collect();
    assert_eq!(present, ["r-1"]);
}

#[test]
fn a_node_finds_the_followers_that_its_own_row_listed() {
    let rows = vec![
        row("own", Some(0), &[follower("f", 0)], 20_000),
        row("r-2", Some(0), &[follower("g", 0)], 20_000),
    ];
    let known = registry(rows, 20_500);
    assert_eq!(known.own_followers, [follower("f", 500)]);
}

/// After all nodes had been without power for eight seconds, the fleet read from the rows
/// was mistaken for a starting one, whose size is unknown.
#[test]
fn a_fleet_is_known_whole_after_all_its_nodes_were_stopped_for_seconds() {
    let rows = || vec![row("r-1", Some(1_000), &[follower("f", 0)], 20_000)];
    let stopped = registry(rows(), 28_000);
    assert_eq!(stopped.members["r-1"].active_reader_since(), None);
    assert!(stopped.is_settled());
    // The rows have expired: any number of nodes may have been replaced.
    assert!(!registry(rows(), 40_000).is_settled());
    let starting = vec![row("r-1", Some(19_000), &[], 20_000)];
    assert!(!registry(starting, 20_500).is_settled());
}

#[test]
fn rows_that_make_no_sense_are_passed_over() {
    let strange = StoredRow {
        key: "a/strange".to_owned(),
        value: b"{\"name\": 3".to_vec(),
        version: StoreRevision::new(Era::default(), 1),
    };
    let key = StoredRow {
        key: PEER_KEY_ROW.to_owned(),
        value: vec![7; 32],
        version: StoreRevision::new(Era::default(), 2),
    };
    let known = registry(vec![key, strange, row("r-1", None, &[], 5)], 10);
    assert!(known.key.is_some());
    assert_eq!(known.members.len(), 1);
    assert!(!known.is_settled());
}
