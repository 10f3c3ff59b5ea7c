//! Whether the stored record of a service's logs, and the statuses of its instances, prove
//! that an instance which is promoted has every acknowledged commit.

#[path = "../common/mod.rs"]
mod common;
mod model;

use common::is_broken;
use model::{MACHINES, NODES, Run, Step, Without, first_loss};
use proptest::prelude::*;

fn step() -> impl Strategy<Value = Step> {
    let machine = 0..MACHINES;
    let node = 0..NODES;
    prop_oneof![
        6 => node.clone().prop_map(Step::Commit),
        8 => machine.clone().prop_map(Step::Receive),
        3 => machine.clone().prop_map(Step::ToggleReceiving),
        6 => node.clone().prop_map(Step::Acknowledge),
        2 => machine.clone().prop_map(Step::Stop),
        2 => machine.clone().prop_map(Step::Lapse),
        1 => machine.clone().prop_map(Step::Replace),
        2 => machine.clone().prop_map(Step::RestartEmpty),
        1 => Just(Step::Add),
        2 => machine.clone().prop_map(Step::Drain),
        1 => machine.clone().prop_map(Step::ReuseAddress),
        6 => node.clone().prop_map(Step::Record),
        4 => node.clone().prop_map(Step::Prove),
        3 => node.clone().prop_map(Step::Observe),
        1 => (0..=2_usize).prop_map(Step::Configure),
        1 => node.clone().prop_map(Step::Settle),
        2 => node.clone().prop_map(Step::RestartNode),
        1 => Just(Step::Agree),
        4 => machine.prop_map(Step::Ask),
        3 => node.prop_map(Step::Order),
    ]
}

/// Services with synchronous replicas, steps in any order, and a choice at the end.
fn runs() -> impl Strategy<Value = (usize, Vec<Step>)> {
    let other_nodes = (1..NODES).map(Step::Order);
    let choice: Vec<Step> = choice().into_iter().chain(other_nodes).collect();
    let steps = prop::collection::vec(step(), 1..60);
    (1..=2_usize, steps).prop_map(move |(synchronous, steps)| {
        let steps = [&steps[..], &choice].concat();
        (synchronous, steps)
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_096, max_shrink_iters: 4_000, failure_persistence: None, ..ProptestConfig::default() })]
    /// Acknowledgements, losses, restarts, records, reports and orders in any order.
    #[test]
    fn no_instance_is_promoted_that_lacks_an_acknowledged_commit((synchronous, steps) in runs()) {
        let loss = first_loss(synchronous, &steps, Without::Nothing);
        prop_assert_eq!(loss, None);
    }
}

/// The property with rules switched off: random steps lose commits then. The other rules
/// take steps that are rarely drawn together, which the tests below name.
#[test]
fn commits_are_lost_without_each_of_the_rules() {
    for without in [
        Without::Record,
        Without::Coverage,
        Without::LostLogs,
        Without::ProvedRemoval,
    ] {
        let is_broken = is_broken(32_768, &runs(), |(synchronous, steps)| {
            first_loss(synchronous, &steps, without).is_none()
        });
        assert!(is_broken, "{without:?} loses nothing");
    }
}

/// A node records the logs, and replica 1 alone receives a commit that is acknowledged.
fn acknowledged_on_one_replica() -> Vec<Step> {
    vec![
        Step::Record(0),
        Step::Observe(0),
        Step::ToggleReceiving(1),
        Step::Commit(0),
        Step::Receive(0),
        Step::Acknowledge(0),
    ]
}

/// All nodes agree, every instance that runs is asked, and one may be promoted.
fn choice() -> Vec<Step> {
    let asked = (0..MACHINES).map(Step::Ask);
    [Step::Agree]
        .into_iter()
        .chain(asked)
        .chain([Step::Order(0)])
        .collect()
}

/// Asserts that a choice after the steps loses a commit only without a rule.
fn assert_lost_only(without: Without, steps: &[Step]) {
    let steps = [steps, &choice()].concat();
    assert_eq!(first_loss(1, &steps, Without::Nothing), None);
    let last = steps.len() - 1;
    assert_eq!(first_loss(1, &steps, without), Some(last), "{without:?}");
}

/// Asserts the same of steps after a commit on one replica.
fn assert_kept_by(without: Without, steps: &[Step]) {
    let steps = [&acknowledged_on_one_replica(), steps].concat();
    assert_lost_only(without, &steps);
}

/// All nodes, the primary and the replica with the commit are lost at once.
#[test]
fn instances_that_no_node_remembers_still_count() {
    assert_kept_by(
        Without::Record,
        &[
            Step::Stop(0),
            Step::Stop(1),
            Step::Lapse(0),
            Step::Lapse(1),
            Step::RestartNode(0),
            Step::RestartNode(1),
        ],
    );
}

/// The replica with the commit starts again with nothing while the primary is lost.
#[test]
fn a_replica_that_started_again_with_nothing_does_not_count_as_one_that_was_asked() {
    assert_kept_by(
        Without::LostLogs,
        &[Step::RestartEmpty(1), Step::Record(0), Step::Stop(0)],
    );
}

/// The replica with the commit starts again with nothing, and has what was proved before.
#[test]
fn a_lost_log_counts_again_only_by_evidence_from_after_its_loss() {
    assert_kept_by(
        Without::LaterEvidence,
        &[Step::RestartEmpty(1), Step::Prove(0), Step::Stop(0)],
    );
}

/// The primary and the replica with the commit are not listed any more.
#[test]
fn a_lapsed_entry_alone_removes_no_member() {
    assert_kept_by(
        Without::ProvedRemoval,
        &[
            Step::Stop(0),
            Step::Stop(1),
            Step::Lapse(0),
            Step::Lapse(1),
            Step::Record(0),
        ],
    );
}

/// The address of the replica with the commit went to another service meanwhile.
#[test]
fn a_new_instance_does_not_continue_a_log_across_another_service() {
    assert_kept_by(
        Without::ForeignAddresses,
        &[
            Step::Stop(1),
            Step::Lapse(1),
            Step::ReuseAddress(1),
            Step::Stop(0),
        ],
    );
}

/// An added instance alone has a commit that another node acknowledged.
#[test]
fn the_record_is_read_after_the_agreement() {
    assert_lost_only(
        Without::ReadAfterAgreement,
        &[
            Step::Record(0),
            Step::Record(1),
            Step::Add,
            Step::Record(1),
            Step::ToggleReceiving(0),
            Step::ToggleReceiving(1),
            Step::Commit(1),
            Step::Receive(2),
            Step::Acknowledge(1),
            Step::Stop(0),
            Step::Stop(3),
            Step::Lapse(3),
        ],
    );
}

/// One commit was acknowledged without synchronous replicas, and the nodes that knew of
/// that setting are lost.
#[test]
fn a_raised_setting_is_promised_only_once_it_is_proved() {
    assert_lost_only(
        Without::RecordedReplicas,
        &[
            Step::Record(0),
            Step::Configure(0),
            Step::Record(0),
            Step::Commit(0),
            Step::Acknowledge(0),
            Step::Configure(1),
            Step::RestartNode(0),
            Step::RestartNode(1),
            Step::Stop(0),
        ],
    );
}

/// The instances that a choice permits after a commit on one replica and these steps.
fn permitted_after(steps: &[Step]) -> Vec<usize> {
    let mut run = Run::new(1, Without::Nothing);
    for step in [&acknowledged_on_one_replica(), steps, &choice()].concat() {
        run.take(step);
    }
    run.permitted(0)
}

/// All nodes and the primary are lost; both replicas answer.
#[test]
fn the_next_instance_is_promoted_when_only_the_primary_is_lost_with_all_nodes() {
    let steps = [Step::Stop(0), Step::Lapse(0), Step::RestartNode(0)];
    assert_eq!(permitted_after(&steps), [1]);
}

/// The replica that started again with nothing has caught up, which was proved.
#[test]
fn a_replica_that_has_caught_up_blocks_no_promotion() {
    let steps = [
        Step::RestartEmpty(1),
        Step::Record(0),
        Step::Receive(0),
        Step::Prove(0),
        Step::Stop(0),
        Step::RestartNode(0),
    ];
    assert_eq!(permitted_after(&steps), [1]);
}

/// A replica has ended in an orderly way, and the other one has every commit.
#[test]
fn a_group_that_shrank_is_served_by_the_replica_that_is_left() {
    let steps = [
        Step::Drain(1),
        Step::Drain(1),
        Step::Prove(0),
        Step::Stop(0),
        Step::RestartNode(0),
    ];
    assert_eq!(permitted_after(&steps), [1]);
}
