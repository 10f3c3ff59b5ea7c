//! Distribution of the table between nodes. Guards against a version that decreases
//! when responses are delayed or repeated, against damaged copies that are put in
//! force, and against changes that result in another table than the whole copy.

use std::time::Duration;

use linkhold_core::membership::{Announcement, NodeId};
use linkhold_core::rendezvous::owners;
use linkhold_core::table::{Column, Delta, Sheet};
use linkhold_core::table_spread::{SpreadAction, TableRequest, TableResponse, TableSpread};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn sheet(weights: &[u32]) -> Sheet {
    let rows = weights.iter().enumerate().map(|(index, weight)| {
        let mut cells = vec!["x".to_owned(); Column::ALL.len()];
        cells[Column::Instance.index()] = format!("instance-{index}");
        cells[Column::Weight.index()] = weight.to_string();
        cells
    });
    Sheet::from_cells(rows.collect())
}

fn spread_with(versions: &[&[u32]]) -> TableSpread {
    let mut table = TableSpread::default();
    for (index, weights) in versions.iter().enumerate() {
        table.on_store_version(index as u64 + 1, sheet(weights));
    }
    table
}

#[test]
fn a_node_that_is_behind_gets_the_changes_only() {
    let ahead = spread_with(&[&[1, 1], &[1, 2], &[1, 2, 3]]);
    let mut behind = spread_with(&[&[1, 1]]);
    let response = ahead.on_request(TableRequest { have: 1 });
    assert!(matches!(&response, TableResponse::Deltas { deltas, .. } if deltas.len() == 2));
    assert_eq!(behind.on_response(response), Some(SpreadAction::InForce(3)));
    assert_eq!(behind.announcement(), ahead.announcement());
}

#[test]
fn a_damaged_copy_is_refused_and_asked_for_whole() {
    let ahead = spread_with(&[&[1], &[2]]);
    let mut behind = spread_with(&[&[1]]);
    let TableResponse::Deltas {
        from,
        mut deltas,
        digest,
    } = ahead.on_request(TableRequest { have: 1 })
    else {
        panic!("changes were expected");
    };
    deltas[0].changed[0][Column::Weight.index()] = "9".to_owned();
    let damaged = TableResponse::Deltas {
        from,
        deltas,
        digest,
    };
    assert_eq!(behind.on_response(damaged), Some(SpreadAction::Damaged(2)));
    assert_eq!(behind.version(), 1);
    let from = "127.0.0.1:1".parse().expect("is an address");
    let action = behind.on_announcement(from, ahead.announcement(), Duration::ZERO);
    assert_eq!(
        action,
        Some(SpreadAction::Request(from, TableRequest { have: 0 }))
    );
    behind.on_response(ahead.on_request(TableRequest { have: 0 }));
    assert_eq!(behind.announcement(), ahead.announcement());
}

#[test]
fn an_unanswered_request_is_made_again_elsewhere() {
    let mut behind = spread_with(&[&[1]]);
    let announcement = Announcement {
        table_version: 2,
        table_digest: 0,
    };
    let first = "127.0.0.1:1".parse().expect("is an address");
    let second = "127.0.0.1:2".parse().expect("is an address");
    assert!(
        behind
            .on_announcement(first, announcement, Duration::ZERO)
            .is_some()
    );
    assert!(
        behind
            .on_announcement(second, announcement, Duration::from_millis(500))
            .is_none()
    );
    assert!(
        behind
            .on_announcement(second, announcement, Duration::from_millis(1_100))
            .is_some()
    );
}

#[test]
fn a_departed_owner_moves_only_its_own_duties() {
    let nodes: Vec<NodeId> = (0..50)
        .map(|number| NodeId::of_name(&format!("node-{number}")))
        .collect();
    let duties: Vec<String> = (0..200).map(|number| format!("duty-{number}")).collect();
    let gone = nodes[7];
    for duty in &duties {
        let before = owners(duty, nodes.iter().copied(), 3);
        let after = owners(duty, nodes.iter().copied().filter(|node| *node != gone), 3);
        let kept: Vec<NodeId> = before
            .iter()
            .copied()
            .filter(|node| *node != gone)
            .collect();
        assert!(after.starts_with(&kept), "{duty}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(17), ..ProptestConfig::default() })]

    #[test]
    fn a_delta_leads_from_one_sheet_to_the_other(
        before in proptest::collection::vec(0..4_u32, 0..6),
        after in proptest::collection::vec(0..4_u32, 0..6),
    ) {
        let (before, after) = (sheet(&before), sheet(&after));
        let reached = Delta::between(&before, &after).apply(&before);
        prop_assert_eq!(reached.digest(), after.digest());
    }

    /// Delayed, repeated and reordered responses never decrease a version.
    #[test]
    fn versions_only_rise(picks in proptest::collection::vec((0..6_usize, 0..6_u64), 1..30)) {
        let versions: Vec<Vec<u32>> = (1..=6).map(|version| vec![version; 3]).collect();
        let mut node = TableSpread::default();
        let mut highest = 0;
        for (newest, have) in picks {
            let known: Vec<&[u32]> = versions[..=newest].iter().map(Vec::as_slice).collect();
            let response = spread_with(&known).on_request(TableRequest { have });
            node.on_response(response);
            prop_assert!(node.version() >= highest);
            highest = node.version();
            if highest > 0 {
                let wanted = sheet(&versions[usize::try_from(highest - 1).expect("is small")]);
                prop_assert_eq!(node.sheet().digest(), wanted.digest());
            }
        }
    }
}
