//! Whether the stored record of a service's logs, and the statuses of its instances, prove
//! that an instance which is promoted has every acknowledged commit.
//!
//! Instances announce themselves before they receive commits and before they answer, and
//! running nodes read these announcements at once. An instance is recorded before it, or
//! another one in its place, starts again. Everything else comes in any order.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linkhold_core::position::Position;
use linkhold_core::service::failover::InstanceStatus;
use linkhold_core::service::instance::{Instance, InstanceId, Lifecycle, Role};
use linkhold_core::service::log_completeness::{
    LogCompleteness, LogHolders, StatusReport, StatusReports, TermEnd,
};
use linkhold_core::service::log_group::{LogGroup, LogProof, LogState};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const NODES: usize = 2;
const FIRST_INSTANCES: usize = 3;
/// Steps name machines by numbers below this.
const MACHINES: usize = 4;
const PRIMARY: usize = 0;

/// A step of a service, its instances and the nodes that use it.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The primary commits for a node.
    Commit(usize),
    /// A replica receives what the primary has, if it receives.
    Receive(usize),
    /// A replica stops receiving, or starts again.
    ToggleReceiving(usize),
    /// A node acknowledges the commits that were answered.
    Acknowledge(usize),
    /// A machine stops; its instance's log stays.
    Stop(usize),
    /// The entry of an instance that has stopped lapses.
    Lapse(usize),
    /// A new instance starts on a stopped machine, and continues its log.
    Replace(usize),
    /// An instance starts again under its name, with nothing.
    RestartEmpty(usize),
    /// A machine is added, with an empty log.
    Add,
    /// An instance announces that it is leaving, and later ends for good.
    Drain(usize),
    /// A stopped machine's address goes to another service, and then to a new, empty
    /// instance.
    ReuseAddress(usize),
    /// A node brings the stored record up to date.
    Record(usize),
    /// A node proves what the members have received.
    Prove(usize),
    /// A node notes the end of the primary's log, as evidence for a later proof.
    Observe(usize),
    /// The operator sets the number of synchronous replicas.
    Configure(usize),
    /// A node takes the present setting as in force for long.
    Settle(usize),
    /// A node starts again and has forgotten everything.
    RestartNode(usize),
    /// All nodes agree to acknowledge nothing more.
    Agree,
    /// An instance is asked for its status.
    Ask(usize),
    /// A node promotes an instance, if the rules permit one.
    Order(usize),
}

/// The rule that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Only what is listed counts as a log that may hold commits.
    Record,
    /// Commits are acknowledged before the record covers them.
    Coverage,
    /// The record that the deciding node knew before the agreement is used.
    ReadAfterAgreement,
    /// An instance that has started again with nothing counts as one that was asked.
    LostLogs,
    /// A lost log counts again by evidence from before it was lost.
    LaterEvidence,
    /// A lapsed entry alone removes a member.
    ProvedRemoval,
    /// An instance continues the log of whoever had its address last.
    ForeignAddresses,
    /// The present setting alone tells how many replicas have a commit.
    RecordedReplicas,
}

fn incarnation(name: &str, number: usize) -> InstanceId {
    InstanceId::of_incarnation(name, Some(number as u64))
}

#[derive(Clone, Debug)]
struct Machine {
    address: SocketAddr,
    id: InstanceId,
    received: u64,
    runs: bool,
    receives: bool,
    is_listed: bool,
    is_draining: bool,
    has_ended: bool,
}

impl Machine {
    fn new(number: usize) -> Self {
        let port = 1_000 + u16::try_from(number).unwrap();
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            id: incarnation(&format!("instance-{number}"), 0),
            received: 0,
            runs: true,
            receives: true,
            is_listed: true,
            is_draining: false,
            has_ended: false,
        }
    }

    fn instance(&self) -> Instance {
        Instance {
            id: self.id.clone(),
            service: self.id.0.clone(),
            address: self.address,
            zone: self.id.0.clone(),
            capacity: 1,
            lifecycle: match self.is_draining {
                true => Lifecycle::Draining,
                false => Lifecycle::Ready,
            },
            role: Role::Replica,
            warm_up_left: Duration::ZERO,
        }
    }
}

#[derive(Clone, Debug)]
struct Node {
    known: Option<LogGroup>,
    /// The lowest setting of synchronous replicas that it has seen lately.
    guaranteed: usize,
    /// The end of the primary's log as it once saw it.
    observed: Option<u64>,
}

struct Run {
    without: Without,
    now: Instant,
    /// Numbers for starts and names.
    next: usize,
    machines: Vec<Machine>,
    has_primary: bool,
    configured: usize,
    /// Commits that were answered, and those that were acknowledged, up to these.
    answered: u64,
    acknowledged: u64,
    nodes: Vec<Node>,
    stored: Option<LogGroup>,
    agreed_at: Option<Instant>,
    reports: StatusReports,
}

impl Run {
    fn new(synchronous: usize, without: Without) -> Self {
        let machines = (0..FIRST_INSTANCES).map(Machine::new);
        let node = Node {
            known: None,
            guaranteed: synchronous,
            observed: None,
        };
        Self {
            without,
            now: Instant::now(),
            next: FIRST_INSTANCES,
            machines: machines.collect(),
            has_primary: true,
            configured: synchronous,
            answered: 0,
            acknowledged: 0,
            nodes: vec![node; NODES],
            stored: None,
            agreed_at: None,
            reports: StatusReports::default(),
        }
    }

    fn next_number(&mut self) -> usize {
        self.next += 1;
        self.next
    }

    fn log_end(&self) -> u64 {
        self.machines[PRIMARY].received
    }

    /// Answers the commits that enough replicas have.
    fn answer(&mut self) {
        if !self.has_primary {
            return;
        }
        let mut received: Vec<u64> = self.machines[1..].iter().map(|it| it.received).collect();
        received.sort_unstable_by(|first, second| second.cmp(first));
        let replicated = match self.configured.checked_sub(1) {
            None => self.log_end(),
            Some(last) => received.get(last).copied().unwrap_or(0),
        };
        self.answered = self.answered.max(replicated.min(self.log_end()));
    }

    fn listed(&self) -> Vec<Instance> {
        let listed = self.machines.iter().filter(|it| it.is_listed);
        listed.map(Machine::instance).collect()
    }

    fn admit_listed(&self, group: &mut LogGroup) {
        for instance in self.listed() {
            group.admit(&instance);
        }
        if self.without == Without::LostLogs {
            for member in &mut group.members {
                member.state = LogState::Intact;
            }
        }
    }

    /// The record as a node completes it.
    fn completed(&self, node: usize) -> LogGroup {
        let guaranteed = match self.without {
            Without::RecordedReplicas => self.configured,
            _ => self.nodes[node].guaranteed,
        };
        // Nothing was acknowledged before the first record.
        let mut group = self.stored.clone().unwrap_or(LogGroup {
            members: Vec::new(),
            synchronous: guaranteed,
        });
        if self.without == Without::ProvedRemoval {
            let listed = self.listed();
            let is_listed = |id: &InstanceId| listed.iter().any(|it| it.id == *id);
            group.members.retain(|member| is_listed(&member.id));
        }
        self.admit_listed(&mut group);
        match self.without {
            Without::RecordedReplicas => group.synchronous = guaranteed,
            _ => group.limit_synchronous(guaranteed),
        }
        group
    }

    /// Whether the stored record has seen the present instance of a machine.
    fn is_recorded(&self, machine: usize) -> bool {
        let id = &self.machines[machine].id;
        let stored = self.stored.as_ref();
        stored.is_none_or(|group| group.member_of(id).is_some())
    }

    fn store(&mut self, node: usize, group: LogGroup) {
        self.nodes[node].known = Some(group.clone());
        self.stored = Some(group);
    }

    fn may_acknowledge(&self, node: usize) -> bool {
        let is_ungated = matches!(self.without, Without::Coverage | Without::Record);
        if is_ungated || self.configured == 0 {
            return true;
        }
        let listed = self.listed();
        let node = &self.nodes[node];
        let known = node.known.as_ref();
        known.is_some_and(|group| group.covers(listed.iter().map(|it| &it.id), node.guaranteed))
    }

    fn prove(&mut self, node: usize) {
        if !self.has_primary || self.agreed_at.is_some() || self.nodes[node].known.is_none() {
            return;
        }
        let position = match self.without {
            Without::LaterEvidence => self.nodes[node].observed.unwrap_or(u64::MAX),
            _ => self.log_end(),
        };
        let running = self.machines.iter().filter(|it| it.runs && it.is_listed);
        let reached = running.filter(|it| it.received >= position);
        let ended = self.machines.iter().filter(|it| it.has_ended);
        let proof = LogProof {
            reached: reached.map(|it| it.id.clone()).collect(),
            ended: ended.map(|it| it.id.clone()).collect(),
            synchronous: self.nodes[node].guaranteed,
        };
        let mut group = self.completed(node);
        group.apply(&proof);
        self.store(node, group);
    }

    /// What the node that decides knows of the logs.
    fn holders(&self, node: usize) -> LogHolders {
        let mut group = match self.without {
            Without::Record => LogGroup {
                members: Vec::new(),
                synchronous: self.configured,
            },
            Without::ReadAfterAgreement => self.nodes[node].known.clone().unwrap_or_default(),
            _ => self.stored.clone().unwrap_or_default(),
        };
        self.admit_listed(&mut group);
        let guaranteed = match self.without {
            Without::RecordedReplicas => self.configured,
            _ => group.synchronous.min(self.nodes[node].guaranteed),
        };
        LogHolders {
            group,
            instances: 0,
            synchronous: guaranteed,
            forbids_loss: true,
        }
    }

    /// Instances that the rules permit to be promoted and that lack acknowledged commits.
    fn order(&self, node: usize) -> Vec<usize> {
        let mut lossy = self.permitted(node);
        lossy.retain(|machine| self.machines[*machine].received < self.acknowledged);
        lossy
    }

    /// Instances that the rules permit to be promoted.
    fn permitted(&self, node: usize) -> Vec<usize> {
        let Some(at) = self.agreed_at else {
            return Vec::new();
        };
        let end = TermEnd::Agreed {
            at,
            acknowledged: None,
        };
        let holders = self.holders(node);
        let is_permitted = |machine: &&Machine| {
            let id = machine.id.clone();
            let completeness = self.reports.completeness(&id, &end, &holders);
            machine.runs && completeness > LogCompleteness::MayLackCommits
        };
        let machines = self.machines.iter().enumerate();
        let permitted = machines.filter(|(_, it)| is_permitted(it));
        permitted.map(|(index, _)| index).collect()
    }

    fn take(&mut self, step: Step) -> Vec<usize> {
        self.now += Duration::from_millis(10);
        let machine = |number: usize| number % self.machines.len();
        let replica = |number: usize| 1 + number % (self.machines.len() - 1);
        match step {
            Step::Commit(node) => {
                if self.has_primary && self.may_acknowledge(node % NODES) {
                    self.machines[PRIMARY].received += 1;
                }
            }
            Step::Receive(number) if self.has_primary => {
                let log_end = self.log_end();
                let replica = replica(number);
                let replica = &mut self.machines[replica];
                if replica.runs && replica.receives {
                    replica.received = log_end;
                }
            }
            Step::ToggleReceiving(number) => {
                let replica = replica(number);
                let replica = &mut self.machines[replica];
                replica.receives = !replica.receives;
            }
            Step::Acknowledge(node) => {
                let node = node % NODES;
                if self.agreed_at.is_none() && self.may_acknowledge(node) {
                    self.acknowledged = self.answered;
                }
            }
            Step::Stop(number) => {
                let index = machine(number);
                self.machines[index].runs = false;
                self.has_primary &= index != PRIMARY;
            }
            Step::Lapse(number) => {
                let index = machine(number);
                let stopped = &mut self.machines[index];
                stopped.is_listed &= stopped.runs;
            }
            Step::Replace(number) => {
                let index = machine(number);
                let name = self.next_number();
                let is_recorded = self.is_recorded(index);
                let stopped = &mut self.machines[index];
                if !stopped.runs && !stopped.has_ended && is_recorded {
                    stopped.id = incarnation(&format!("instance-{name}"), 0);
                    stopped.runs = true;
                    stopped.is_listed = true;
                    stopped.is_draining = false;
                }
            }
            Step::RestartEmpty(number) => {
                let index = machine(number);
                let started_at = self.next_number();
                let is_recorded = self.is_recorded(index);
                let restarted = &mut self.machines[index];
                if !restarted.has_ended && is_recorded {
                    restarted.id = incarnation(restarted.id.name(), started_at);
                    restarted.received = 0;
                    restarted.runs = true;
                    restarted.is_listed = true;
                    self.has_primary &= index != PRIMARY;
                }
            }
            Step::Add if self.machines.len() < MACHINES => {
                let number = self.next_number();
                self.machines.push(Machine::new(number));
            }
            Step::Drain(number) => {
                let replica = replica(number);
                let replica = &mut self.machines[replica];
                if replica.is_draining {
                    replica.runs = false;
                    replica.is_listed = false;
                    replica.has_ended = true;
                }
                replica.is_draining = true;
            }
            Step::ReuseAddress(number) => self.reuse_address(machine(number)),
            Step::Record(node) => {
                let node = node % NODES;
                let group = self.completed(node);
                self.store(node, group);
            }
            Step::Prove(node) => self.prove(node % NODES),
            Step::Observe(node) if self.has_primary => {
                self.nodes[node % NODES].observed = Some(self.log_end());
            }
            Step::Configure(replicas) => {
                self.configured = replicas;
                for node in &mut self.nodes {
                    node.guaranteed = node.guaranteed.min(replicas);
                }
                // The recorder notes it at once.
                if self.stored.is_some() || replicas > 0 {
                    let group = self.completed(0);
                    self.store(0, group);
                }
            }
            Step::Settle(node) => self.nodes[node % NODES].guaranteed = self.configured,
            Step::RestartNode(node) => {
                self.nodes[node % NODES] = Node {
                    known: None,
                    guaranteed: self.configured,
                    observed: None,
                };
            }
            Step::Agree => self.agreed_at = self.agreed_at.or(Some(self.now)),
            Step::Ask(number) => {
                let asked = &self.machines[machine(number)];
                if asked.runs && asked.is_listed {
                    self.reports.record(StatusReport {
                        status: InstanceStatus {
                            id: asked.id.clone(),
                            role: Role::Replica,
                            term: Position::new(1, 0).term,
                            received: Position::new(1, asked.received),
                        },
                        asked_at: self.now,
                    });
                }
            }
            Step::Order(node) => return self.order(node % NODES),
            Step::Receive(_) | Step::Add | Step::Observe(_) => {}
        }
        self.answer();
        Vec::new()
    }

    fn reuse_address(&mut self, index: usize) {
        let name = self.next_number();
        let stopped = &self.machines[index];
        if stopped.runs || stopped.is_listed || index == PRIMARY {
            return;
        }
        let foreign = HashSet::from([stopped.address]);
        if self.without != Without::ForeignAddresses
            && let Some(stored) = &mut self.stored
        {
            stored.release_addresses(&foreign, |_| false);
        }
        self.machines[index] = Machine {
            address: self.machines[index].address,
            ..Machine::new(name)
        };
    }
}

/// The first order that promotes an instance without an acknowledged commit, if any.
fn first_loss(synchronous: usize, steps: &[Step], without: Without) -> Option<usize> {
    let mut run = Run::new(synchronous, without);
    let mut steps = steps.iter().enumerate();
    steps
        .find(|(_, step)| !run.take(**step).is_empty())
        .map(|(index, _)| index)
}

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
    let choice: Vec<Step> = [Step::Agree]
        .into_iter()
        .chain((0..MACHINES).map(Step::Ask))
        .chain((0..NODES).map(Step::Order))
        .collect();
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
        let config = ProptestConfig {
            cases: 32_768,
            max_shrink_iters: 0,
            failure_persistence: None,
            ..ProptestConfig::default()
        };
        let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
        let mut runner = TestRunner::new_with_rng(config, rng);
        let result = runner.run(&runs(), |(synchronous, steps)| {
            let loss = first_loss(synchronous, &steps, without);
            prop_assert_eq!(loss, None);
            Ok(())
        });
        assert!(result.is_err(), "{without:?} loses nothing");
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

/// Asserts that the steps lose a commit only without a rule.
fn assert_kept_by(without: Without, steps: &[Step]) {
    let steps = [&acknowledged_on_one_replica(), steps, &choice()].concat();
    assert_eq!(first_loss(1, &steps, Without::Nothing), None);
    let last = steps.len() - 1;
    assert_eq!(first_loss(1, &steps, without), Some(last), "{without:?}");
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
    let steps = [
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
        ][..],
        &choice(),
    ]
    .concat();
    let last = steps.len() - 1;
    assert_eq!(first_loss(1, &steps, Without::Nothing), None);
    assert_eq!(
        first_loss(1, &steps, Without::ReadAfterAgreement),
        Some(last)
    );
}

/// One commit was acknowledged without synchronous replicas, and the nodes that knew of
/// that setting are lost.
#[test]
fn a_raised_setting_is_promised_only_once_it_is_proved() {
    let steps = [
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
        ][..],
        &choice(),
    ]
    .concat();
    let last = steps.len() - 1;
    assert_eq!(first_loss(1, &steps, Without::Nothing), None);
    assert_eq!(first_loss(1, &steps, Without::RecordedReplicas), Some(last));
}

/// What a run that lost nothing permits after its steps.
fn permitted(synchronous: usize, steps: &[Step]) -> Vec<usize> {
    let mut run = Run::new(synchronous, Without::Nothing);
    for step in steps {
        run.take(*step);
    }
    run.permitted(0)
}

/// All nodes and the primary are lost; both replicas answer.
#[test]
fn the_next_instance_is_promoted_when_only_the_primary_is_lost_with_all_nodes() {
    let steps = [
        &acknowledged_on_one_replica()[..],
        &[Step::Stop(0), Step::Lapse(0), Step::RestartNode(0)],
        &choice(),
    ]
    .concat();
    assert_eq!(permitted(1, &steps), [1]);
}

/// The replica that started again with nothing has caught up, which was proved.
#[test]
fn a_replica_that_has_caught_up_blocks_no_promotion() {
    let steps = [
        &acknowledged_on_one_replica()[..],
        &[
            Step::RestartEmpty(1),
            Step::Record(0),
            Step::Receive(0),
            Step::Prove(0),
            Step::Stop(0),
            Step::RestartNode(0),
        ],
        &choice(),
    ]
    .concat();
    assert_eq!(permitted(1, &steps), [1]);
}

/// A replica has ended in an orderly way, and the other one has every commit.
#[test]
fn a_group_that_shrank_is_served_by_the_replica_that_is_left() {
    let steps = [
        &acknowledged_on_one_replica()[..],
        &[
            Step::Drain(1),
            Step::Drain(1),
            Step::Prove(0),
            Step::Stop(0),
            Step::RestartNode(0),
        ],
        &choice(),
    ]
    .concat();
    assert_eq!(permitted(1, &steps), [1]);
}
