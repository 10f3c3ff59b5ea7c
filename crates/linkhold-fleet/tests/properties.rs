//! Properties of membership and table distribution under loss, duplication,
//! pauses, restarts, partitions and store outages, in any order.
//!
//! Guards against live members that stay dead in another node's list and against
//! nodes that miss the newest table version or return to a lower one. The tests
//! with a mutation disable one mechanism each and expect the check to fail.

use std::time::Duration;

use linkhold_core::membership::MembershipSettings;
use linkhold_fleet::{FleetOptions, Mutation, NetworkOptions, Simulation};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};

const NODES: usize = 6;
const CASES: u32 = 40;
const STEPS: usize = 12;
/// Time between steps; long enough for a suspect to be declared dead.
const STEP: Duration = Duration::from_secs(3);
/// Time without faults after the last step, in which the fleet must recover.
const RECOVERY_TIME: Duration = Duration::from_secs(240);

#[derive(Clone, Debug)]
enum Step {
    Pause { node: usize, seconds: u64 },
    Restart { node: usize },
    Stop { node: usize },
    Split { nodes: Vec<bool> },
    Heal,
    Edit,
    StoreDown,
    StoreUp,
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        2 => (node.clone(), 1..15_u64).prop_map(|(node, seconds)| Step::Pause { node, seconds }),
        2 => node.clone().prop_map(|node| Step::Restart { node }),
        1 => node.prop_map(|node| Step::Stop { node }),
        2 => proptest::collection::vec(any::<bool>(), NODES).prop_map(|nodes| Step::Split { nodes }),
        1 => Just(Step::Heal),
        3 => Just(Step::Edit),
        1 => Just(Step::StoreDown),
        1 => Just(Step::StoreUp),
    ]
}

fn apply(simulation: &mut Simulation, step: &Step) {
    match step {
        Step::Pause { node, seconds } => simulation.pause(*node, Duration::from_secs(*seconds)),
        Step::Restart { node } => simulation.restart(*node),
        Step::Stop { node } => simulation.nodes[*node].is_up = false,
        Step::Split { nodes } => {
            simulation.partition = nodes.iter().map(|side| u32::from(*side)).collect();
        }
        Step::Heal => simulation.partition = vec![0; NODES],
        Step::Edit => simulation.edit(),
        Step::StoreDown => simulation.store_is_up = false,
        Step::StoreUp => simulation.store_is_up = true,
    }
}

fn run(seed: u64, steps: &[Step], mutation: Option<Mutation>) -> Result<(), String> {
    let mut simulation = Simulation::new(FleetOptions {
        nodes: NODES,
        databases: 4,
        duration: Duration::ZERO,
        seed,
        network: NetworkOptions {
            loss: 0.1,
            duplication: 0.1,
            ..NetworkOptions::default()
        },
        membership: MembershipSettings::default(),
        start_converged: false,
        edits: 0,
        deaths: 0,
        mutation,
    });
    let mut now = STEP * 3;
    simulation.run_until(now);
    for step in steps {
        apply(&mut simulation, step);
        now += STEP;
        simulation.run_until(now);
    }
    simulation.partition = vec![0; NODES];
    simulation.store_is_up = true;
    for node in 0..NODES {
        if !simulation.nodes[node].is_up {
            simulation.restart(node);
        }
    }
    // Loss alone can cause suspicions, so the end state is checked without loss.
    simulation.options.network.loss = 0.0;
    simulation.run_until(now + RECOVERY_TIME);
    if simulation.version_regressions > 0 {
        return Err("a version went down".to_owned());
    }
    if !simulation.all_agree() {
        return Err("a live member is not considered alive".to_owned());
    }
    let newest = simulation.edits.last().map_or(1, |(version, _)| *version);
    let missing = simulation
        .nodes
        .iter()
        .filter(|node| node.spread.version() != newest)
        .count();
    if missing > 0 {
        return Err(format!("{missing} nodes lack version {newest}"));
    }
    Ok(())
}

fn check_random_schedules(mutation: Option<Mutation>) -> Result<(), String> {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let schedules = (any::<u64>(), proptest::collection::vec(step(), STEPS));
    let result = TestRunner::new(config).run(&schedules, |(seed, steps)| {
        run(seed, &steps, mutation).map_err(TestCaseError::fail)
    });
    match result {
        Ok(()) => Ok(()),
        Err(TestError::Fail(reason, _)) => Err(reason.message().to_owned()),
        Err(TestError::Abort(reason)) => panic!("proptest aborted the run: {reason}"),
    }
}

#[test]
fn everything_mends_and_no_version_goes_down() {
    assert_eq!(check_random_schedules(None), Ok(()));
}

#[test]
fn without_refutations_a_live_member_stays_dead() {
    let violation =
        check_random_schedules(Some(Mutation::LoseRefutations)).expect_err("the check must fail");
    assert_eq!(violation, "a live member is not considered alive");
}

#[test]
fn following_lower_versions_is_noticed() {
    let violation = check_random_schedules(Some(Mutation::FollowLowerVersions))
        .expect_err("the check must fail");
    assert_eq!(violation, "a version went down");
}

#[test]
fn the_same_seed_gives_the_same_counts_and_times() {
    let report = || {
        let mut simulation = Simulation::new(FleetOptions {
            nodes: 20,
            databases: 10,
            duration: Duration::from_secs(30),
            seed: 9,
            network: NetworkOptions::default(),
            membership: MembershipSettings::default(),
            start_converged: true,
            edits: 3,
            deaths: 2,
            mutation: None,
        });
        simulation.run();
        let mut report = simulation.report();
        // Processor time is measured, so it differs between runs.
        report.cpu_share = 0.0;
        report.line(0)
    };
    assert_eq!(report(), report());
}
