//! Which nodes own the connections to an instance, and how many each may hold.

use linkhold_core::membership::NodeId;
use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::{connection_share, owners};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn nodes(count: usize) -> Vec<NodeId> {
    (0..count)
        .map(|number| NodeId::of_name(&format!("node-{number}")))
        .collect()
}

fn chosen(nodes: &[NodeId], instance: &str) -> Vec<NodeId> {
    owners::choose(&InstanceId(instance.into()), nodes.iter().copied())
}

#[test]
fn a_node_that_leaves_changes_only_what_it_owned() {
    let all = nodes(24);
    for instance in ["one", "two", "three"] {
        let before = chosen(&all, instance);
        assert_eq!(before.len(), owners::OWNERS_PER_INSTANCE);
        for departed in &all {
            let left: Vec<NodeId> = all.iter().copied().filter(|it| it != departed).collect();
            let after = chosen(&left, instance);
            let kept = before.iter().filter(|owner| after.contains(owner)).count();
            let expected = owners::OWNERS_PER_INSTANCE - usize::from(before.contains(departed));
            assert_eq!(kept, expected);
        }
    }
}

#[test]
fn a_small_region_has_as_many_owners_as_nodes() {
    assert_eq!(chosen(&nodes(2), "one").len(), 2);
    assert!(chosen(&[], "one").is_empty());
}

#[test]
fn nodes_are_spread_over_the_owners() {
    let all = nodes(80);
    let owners = chosen(&all, "one");
    let first = |node: &NodeId| owners::preference(*node, &owners)[0];
    for owner in &owners {
        let preferring = all.iter().filter(|node| first(node) == *owner).count();
        assert!(preferring > 8, "{preferring}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(17),
        ..ProptestConfig::default()
    })]

    #[test]
    fn all_see_the_same_owners_whatever_order_they_know_nodes_in(
        count in 1_usize..40,
        seed in any::<u64>(),
    ) {
        let all = nodes(count);
        let mut shuffled = all.clone();
        shuffled.sort_by_key(|node| node.0 ^ seed);
        prop_assert_eq!(chosen(&all, "one"), chosen(&shuffled, "one"));
        let owners = chosen(&all, "one");
        let mut preferred = owners::preference(all[0], &owners);
        let mut expected = owners;
        preferred.sort_unstable();
        expected.sort_unstable();
        prop_assert_eq!(preferred, expected);
    }

    #[test]
    fn shares_of_owners_leave_room_for_status_questions(limit in 8_usize..500, count in 1_usize..=4) {
        let held = connection_share::of_owner(limit, count).limit * count;
        prop_assert!(held < limit, "{held} of {limit}");
        // Rounding leaves less than one connection of each owner unused.
        let owned = limit * 85 / 100;
        prop_assert!(held <= owned && held + count > owned, "{held} of {limit}");
    }
}
