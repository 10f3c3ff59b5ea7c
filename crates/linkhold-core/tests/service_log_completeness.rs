//! Whether an instance that is promoted has every acknowledged commit.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::is_broken;
use linkhold_core::position::{Position, Term};
use linkhold_core::service::acknowledged::{NodeReport, acknowledged_bound};
use linkhold_core::service::failover::InstanceStatus;
use linkhold_core::service::instance::{InstanceId, Role};
use linkhold_core::service::log_completeness::{
    LogCompleteness, LogHolders, StatusReport, StatusReports, TermEnd,
};
use linkhold_core::service::log_group::{LogGroup, LogMember, LogState};
use proptest::prelude::*;

const NODES: usize = 3;
const MAX_INSTANCES: usize = 5;

fn id(index: usize) -> InstanceId {
    InstanceId(format!("instance-{index}").into())
}

fn intact_log(index: usize) -> LogMember {
    LogMember {
        id: id(index),
        former: Vec::new(),
        address: None,
        state: LogState::Intact,
        is_leaving: false,
    }
}

/// A step of a service whose primary is instance 0, and of the nodes that use it.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The primary commits for a node.
    Commit(usize),
    /// A replica receives what the primary has, if it receives.
    Receive(usize),
    /// A replica stops receiving, or starts again.
    ToggleReceiving(usize),
    /// An instance is asked for its status.
    Ask(usize),
    /// A node asks the primary for the end of its log.
    Observe(usize),
    /// A node agrees to acknowledge nothing more of the primary, and reports what it
    /// acknowledged.
    Agree(usize),
    /// A node starts again and has forgotten what it acknowledged.
    Restart(usize),
    /// A node leaves the fleet.
    Leave(usize),
    /// The primary ends its term.
    EndTerm,
    /// A replica loses its entry and is not asked any more; it goes on receiving.
    Unlist(usize),
    /// An instance is promoted, if the rules permit one.
    Order,
}

/// The rule that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Statuses count whenever they were asked for.
    Agreement,
    /// Enough statuses count as a proof although the primary still sends its commits.
    LogEnd,
    /// Instances that are not listed do not count as ones that may hold commits.
    Unlisted,
    /// Nodes that have ended do not count as ones that may have acknowledged commits.
    EndedNodes,
}

/// A node, and what it knows of the commits that it acknowledged.
#[derive(Clone, Copy, Debug)]
struct Node {
    report: NodeReport,
    /// Whether it acknowledges nothing more: it has agreed or left.
    has_ended: bool,
}

impl Node {
    fn started(at: Instant) -> Self {
        Self {
            report: NodeReport {
                remembers_since: at,
                evidence_at: None,
                newest: None,
                proved_term: None,
                log_holders: 0,
            },
            has_ended: false,
        }
    }

    fn record_evidence(&mut self, sent_at: Instant, position: u64) {
        self.report.evidence_at = self.report.evidence_at.max(Some(sent_at));
        let position = Some(Position::new(1, position));
        self.report.newest = self.report.newest.max(position);
    }
}

/// A service, and what the node that replaces its primary knows of it.
struct Run {
    without: Without,
    synchronous: usize,
    started_at: Instant,
    now: Instant,
    received: Vec<u64>,
    receives: Vec<bool>,
    is_listed: Vec<bool>,
    /// Commits that are not answered yet, by position: the node, and when it sent them.
    unanswered: BTreeMap<u64, (usize, Instant)>,
    acknowledged: u64,
    nodes: [Node; NODES],
    /// Reports of the nodes that agreed.
    node_reports: Vec<NodeReport>,
    departure_at: Option<Instant>,
    reports: StatusReports,
    end: Option<TermEnd>,
    /// When the last node agreed or the primary stepped down.
    ended_at: Instant,
}

impl Run {
    fn new(instances: usize, synchronous: usize, without: Without) -> Self {
        let now = Instant::now();
        Self {
            without,
            synchronous,
            started_at: now,
            now,
            received: vec![0; instances],
            receives: vec![true; instances],
            is_listed: vec![true; instances],
            unanswered: BTreeMap::new(),
            acknowledged: 0,
            nodes: [Node::started(now); NODES],
            node_reports: Vec::new(),
            departure_at: None,
            reports: StatusReports::default(),
            end: None,
            ended_at: now,
        }
    }

    fn has_stepped_down(&self) -> bool {
        matches!(self.end, Some(TermEnd::SteppedDown { .. }))
    }

    /// Answers the commits that enough replicas have. Nodes that have not ended
    /// acknowledge them.
    fn acknowledge(&mut self) {
        let (received, synchronous) = (&self.received, self.synchronous);
        let is_replicated = |position: u64| {
            let replicas = received[1..].iter().filter(|it| **it >= position);
            replicas.count() >= synchronous
        };
        let log_end = received[0];
        for (position, (node, sent_at)) in &self.unanswered {
            let node = &mut self.nodes[*node];
            if is_replicated(*position) && !node.has_ended {
                node.record_evidence(*sent_at, log_end);
                self.acknowledged = self.acknowledged.max(*position);
            }
        }
        self.unanswered
            .retain(|position, _| !is_replicated(*position));
    }

    /// Ends the acknowledgements of a node; the last one ends the term.
    fn end_node(&mut self, node: usize) {
        self.nodes[node].has_ended = true;
        if self.end.is_none() && self.nodes.iter().all(|node| node.has_ended) {
            let acknowledged = self.acknowledged_bound();
            self.end = Some(TermEnd::Agreed {
                at: self.now,
                acknowledged,
            });
            self.ended_at = self.now;
        }
    }

    fn acknowledged_bound(&self) -> Option<Position> {
        if self.without != Without::EndedNodes {
            return acknowledged_bound(&self.node_reports, self.departure_at);
        }
        let remembers_all = |report: &NodeReport| NodeReport {
            remembers_since: self.started_at,
            ..*report
        };
        let reports: Vec<NodeReport> = self.node_reports.iter().map(remembers_all).collect();
        acknowledged_bound(&reports, None)
    }

    fn ask(&mut self, instance: usize) {
        if !self.is_listed[instance] {
            return;
        }
        self.reports.record(StatusReport {
            status: InstanceStatus {
                id: id(instance),
                role: Role::Replica,
                term: Term(1),
                received: Position::new(1, self.received[instance]),
            },
            asked_at: self.now,
        });
    }

    fn holders(&self) -> LogHolders {
        let counts = |index: &usize| self.without != Without::Unlisted || self.is_listed[*index];
        let members = (0..self.received.len()).filter(counts).map(intact_log);
        LogHolders {
            group: LogGroup {
                members: members.collect(),
                synchronous: self.synchronous,
            },
            instances: 0,
            synchronous: self.synchronous,
            forbids_loss: true,
        }
    }

    /// Instances that the rules permit to be promoted.
    fn permitted(&self) -> Vec<usize> {
        let Some(mut end) = self.end else {
            return Vec::new();
        };
        match (self.without, &mut end) {
            (Without::Agreement, TermEnd::Agreed { at, .. }) => {
                *at -= Duration::from_secs(3_600);
            }
            (Without::LogEnd, TermEnd::SteppedDown { .. }) => {
                end = TermEnd::Agreed {
                    at: self.ended_at,
                    acknowledged: None,
                };
            }
            _ => {}
        }
        let holders = self.holders();
        let completeness = |instance: &usize| {
            let id = id(*instance);
            self.reports.completeness(&id, &end, &holders)
        };
        let replicas = 1..self.received.len();
        replicas
            .filter(|it| completeness(it) > LogCompleteness::MayLackCommits)
            .collect()
    }

    /// Takes a step; returns the permitted instances that lack an acknowledged commit.
    fn take(&mut self, step: Step) -> Vec<usize> {
        self.now += Duration::from_millis(10);
        let replicas = self.received.len() - 1;
        match step {
            Step::Commit(node) if !self.has_stepped_down() => {
                self.received[0] += 1;
                self.unanswered
                    .insert(self.received[0], (node % NODES, self.now));
            }
            Step::Commit(_) => {}
            Step::Receive(replica) => {
                let replica = 1 + replica % replicas;
                if self.receives[replica] {
                    self.received[replica] = self.received[0];
                }
            }
            Step::ToggleReceiving(replica) => {
                let replica = 1 + replica % replicas;
                self.receives[replica] = !self.receives[replica];
            }
            Step::Ask(instance) => self.ask(instance % self.received.len()),
            Step::Observe(node) => {
                let node = &mut self.nodes[node % NODES];
                if !node.has_ended && !matches!(self.end, Some(TermEnd::SteppedDown { .. })) {
                    node.record_evidence(self.now, self.received[0]);
                }
            }
            Step::Agree(node) => {
                let node = node % NODES;
                if !self.nodes[node].has_ended {
                    self.node_reports.push(self.nodes[node].report);
                    self.end_node(node);
                }
            }
            Step::Restart(node) => {
                let node = &mut self.nodes[node % NODES];
                if !node.has_ended {
                    *node = Node::started(self.now);
                }
            }
            Step::Leave(node) => {
                let node = node % NODES;
                if !self.nodes[node].has_ended {
                    self.departure_at = Some(self.now);
                    self.end_node(node);
                }
            }
            Step::EndTerm if !self.has_stepped_down() => {
                self.end = Some(TermEnd::SteppedDown {
                    at: self.now,
                    log_end: Position::new(1, self.received[0]),
                });
                self.ended_at = self.now;
            }
            Step::EndTerm => {}
            Step::Unlist(replica) => self.is_listed[1 + replica % replicas] = false,
            Step::Order => {
                let lacks = |instance: &usize| self.received[*instance] < self.acknowledged;
                return self.permitted().into_iter().filter(lacks).collect();
            }
        }
        self.acknowledge();
        Vec::new()
    }
}

/// The first order that promotes an instance without an acknowledged commit, if any.
fn first_loss(
    instances: usize,
    synchronous: usize,
    steps: &[Step],
    without: Without,
) -> Option<usize> {
    let mut run = Run::new(instances, synchronous, without);
    let mut steps = steps.iter().enumerate();
    steps
        .find(|(_, step)| !run.take(**step).is_empty())
        .map(|(index, _)| index)
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..MAX_INSTANCES;
    prop_oneof![
        6 => (0..NODES).prop_map(Step::Commit),
        6 => instance.clone().prop_map(Step::Receive),
        2 => instance.clone().prop_map(Step::ToggleReceiving),
        5 => instance.clone().prop_map(Step::Ask),
        2 => (0..NODES).prop_map(Step::Observe),
        4 => (0..NODES).prop_map(Step::Agree),
        1 => (0..NODES).prop_map(Step::Restart),
        1 => (0..NODES).prop_map(Step::Leave),
        1 => Just(Step::EndTerm),
        1 => instance.prop_map(Step::Unlist),
        4 => Just(Step::Order),
    ]
}

/// Services with synchronous replicas, and steps in any order.
fn runs() -> impl Strategy<Value = (usize, usize, Vec<Step>)> {
    (2..=MAX_INSTANCES).prop_flat_map(|instances| {
        (
            Just(instances),
            1..instances,
            prop::collection::vec(step(), 1..80),
        )
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_096, max_shrink_iters: 2_000, failure_persistence: None, ..ProptestConfig::default() })]
    /// Commits, acknowledgements, statuses, agreements and orders in any order.
    #[test]
    fn no_instance_is_promoted_that_lacks_an_acknowledged_commit(
        (instances, synchronous, steps) in runs(),
    ) {
        let loss = first_loss(instances, synchronous, &steps, Without::Nothing);
        prop_assert_eq!(loss, None);
    }
}

/// The property with its rules switched off: random steps lose commits then.
#[test]
fn commits_are_lost_without_each_of_the_rules() {
    for without in [
        Without::Agreement,
        Without::LogEnd,
        Without::Unlisted,
        Without::EndedNodes,
    ] {
        let is_broken = is_broken(65_536, &runs(), |(instances, synchronous, steps)| {
            first_loss(instances, synchronous, &steps, without).is_none()
        });
        assert!(is_broken, "{without:?} loses nothing");
    }
}

/// Steps before all nodes agree, their agreement, and steps after it.
fn with_agreement(before: &[Step], after: &[Step]) -> Vec<Step> {
    let agreement: Vec<Step> = (0..NODES).map(Step::Agree).collect();
    [before, &agreement, after].concat()
}

/// A replica is asked, stops receiving, and is promoted after commits that only the
/// other replica has received.
#[test]
fn a_status_from_before_the_agreement_is_no_proof() {
    let steps = with_agreement(
        &[
            Step::Ask(1),
            Step::Ask(2),
            Step::ToggleReceiving(0),
            Step::Commit(0),
            Step::Receive(1),
        ],
        &[Step::Order],
    );
    assert_eq!(first_loss(3, 1, &steps, Without::Nothing), None);
    assert_eq!(first_loss(3, 1, &steps, Without::Agreement), Some(8));
}

/// The replica that has the commit is not listed, and the other one alone answers.
#[test]
fn the_status_of_every_listed_instance_is_no_proof() {
    let steps = with_agreement(
        &[
            Step::ToggleReceiving(0),
            Step::Unlist(1),
            Step::Commit(0),
            Step::Receive(1),
        ],
        &[Step::Ask(1), Step::Order],
    );
    assert_eq!(first_loss(3, 1, &steps, Without::Nothing), None);
    assert_eq!(first_loss(3, 1, &steps, Without::Unlisted), Some(8));
}

#[test]
fn enough_instances_must_have_reported_so_that_one_has_every_commit() {
    let needed = |instances, synchronous| {
        let holders = LogHolders {
            group: LogGroup::default(),
            instances,
            synchronous,
            forbids_loss: true,
        };
        holders.reports_needed()
    };
    assert_eq!(needed(3, 1), 2);
    assert_eq!(needed(4, 2), 2);
    assert_eq!(needed(2, 1), 1);
    assert_eq!(needed(1, 1), 1);
    assert_eq!(needed(3, 0), usize::MAX, "no number of replicas is a proof");
}

/// The only other replica does not answer, and the node that acknowledged the commits
/// reports them: the replica that has all of them is promoted.
#[test]
fn a_log_that_reaches_every_reported_commit_lacks_none() {
    let mut run = Run::new(3, 1, Without::Nothing);
    let steps = with_agreement(
        &[
            Step::Observe(0),
            Step::Commit(0),
            Step::Receive(0),
            Step::Unlist(1),
        ],
        &[Step::Ask(1)],
    );
    for step in steps {
        run.take(step);
    }
    assert_eq!(run.acknowledged, 1);
    assert_eq!(run.permitted(), [1]);
}

/// The node that acknowledged the last commit has started again.
#[test]
fn a_node_that_has_forgotten_what_it_acknowledged_proves_nothing() {
    let steps = with_agreement(
        &[
            Step::Observe(1),
            Step::ToggleReceiving(0),
            Step::Commit(0),
            Step::Receive(1),
            Step::Unlist(1),
            Step::Restart(0),
        ],
        &[Step::Ask(1), Step::Order],
    );
    assert_eq!(first_loss(3, 1, &steps, Without::Nothing), None);
    assert_eq!(first_loss(3, 1, &steps, Without::EndedNodes), Some(10));
}
