//! Guarantees of the group view, over random interleavings of commits,
//! replication, elections and probes. Guards against acknowledged writes that are
//! lost by a failover and against reads that miss them.
//!
//! The model follows Raft: logs, terms, elections by a majority for the most
//! up-to-date log. A node observes it only through probes, whose answers may be
//! produced early and delivered late. Each property also runs with its mechanism
//! disabled, and must then fail.

use linkhold_core::group_view::{
    CommitPromise, Confirmation, GroupView, InstanceStatus, PendingCommit, ProbeTag, Role,
};
use linkhold_core::position::{Position, Term};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};

const INSTANCES: usize = 3;
const MAJORITY: usize = 2;
const NODES: usize = 2;
const STEPS: usize = 120;
const CASES: u32 = 800;
/// Reads kept open at once; the oldest is dropped first.
const OPEN_READS: usize = 6;

/// The mechanism that is disabled.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Mutation {
    None,
    /// Commits are acknowledged as soon as they return.
    AcknowledgeAtOnce,
    /// A single answer is enough for a fence.
    FenceOfOne,
    /// Answers to probes sent before the read arrived count for a fence.
    FenceOfOldAnswers,
    /// The confirmation checks the term but not the position.
    TermOnly,
}

#[derive(Clone, Debug)]
enum Step {
    Write,
    Replicate {
        to: usize,
        most: usize,
    },
    Elect {
        candidate: usize,
        voter: usize,
    },
    /// A probe that is sent, served and delivered in one step.
    Probe {
        to: usize,
    },
    SendProbe {
        to: usize,
    },
    ServeProbe {
        pick: usize,
    },
    DeliverProbe {
        pick: usize,
    },
    Read,
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        3 => Just(Step::Write),
        4 => (instance.clone(), 0..4_usize).prop_map(|(to, most)| Step::Replicate { to, most }),
        1 => (instance.clone(), instance.clone())
            .prop_map(|(candidate, voter)| Step::Elect { candidate, voter }),
        8 => instance.clone().prop_map(|to| Step::Probe { to }),
        2 => instance.prop_map(|to| Step::SendProbe { to }),
        2 => (0..4_usize).prop_map(|pick| Step::ServeProbe { pick }),
        2 => (0..4_usize).prop_map(|pick| Step::DeliverProbe { pick }),
        3 => Just(Step::Read),
    ]
}

#[derive(Clone, Debug, Default)]
struct Instance {
    term: u64,
    is_primary: bool,
    log: Vec<(u64, u64)>,
}

impl Instance {
    fn status(&self) -> InstanceStatus {
        let (term, _) = self.log.last().copied().unwrap_or_default();
        InstanceStatus {
            current_term: Term(self.term),
            position: Position::new(term, self.log.len() as u64),
            role: if self.is_primary {
                Role::Primary
            } else {
                Role::Replica
            },
        }
    }

    fn up_to_date(&self) -> (u64, usize) {
        (self.log.last().map_or(0, |entry| entry.0), self.log.len())
    }
}

/// A probe in flight.
struct Probe {
    to: usize,
    tag: ProbeTag,
    status: Option<InstanceStatus>,
}

struct PendingRead {
    arrived: ProbeTag,
    must_see: Vec<u64>,
}

/// A node's view, its probes in flight, and the commits and reads that wait.
struct Node {
    view: GroupView,
    counter: u64,
    probes: Vec<Probe>,
    pending: Vec<(PendingCommit, u64)>,
    reads: Vec<PendingRead>,
}

impl Node {
    fn new() -> Self {
        Self {
            view: GroupView::new(INSTANCES),
            counter: 0,
            probes: Vec::new(),
            pending: Vec::new(),
            reads: Vec::new(),
        }
    }

    fn send_probe(&mut self, to: usize) {
        self.counter += 1;
        self.probes.push(Probe {
            to,
            tag: ProbeTag(self.counter),
            status: None,
        });
    }

    fn deliver(&mut self, pick: usize) {
        let served = self
            .probes
            .get(pick)
            .is_some_and(|probe| probe.status.is_some());
        if served {
            let probe = self.probes.remove(pick);
            if let Some(status) = probe.status {
                self.view.record(probe.to, probe.tag, status);
            }
        }
    }

    fn start_read(&mut self, acknowledged: &[u64]) {
        if self.reads.len() == OPEN_READS {
            self.reads.remove(0);
        }
        self.reads.push(PendingRead {
            arrived: ProbeTag(self.counter),
            must_see: acknowledged.to_vec(),
        });
    }

    fn fence(&self, arrived: ProbeTag, mutation: Mutation) -> Option<Position> {
        match mutation {
            Mutation::FenceOfOldAnswers => self.view.fence(ProbeTag(0)),
            Mutation::FenceOfOne => (0..INSTANCES)
                .filter_map(|instance| self.view.answer(instance))
                .filter(|answer| answer.tag > arrived)
                .map(|answer| answer.status.position)
                .min(),
            _ => self.view.fence(arrived),
        }
    }
}

/// A database group, and two nodes that callers switch between.
struct Model {
    mutation: Mutation,
    instances: Vec<Instance>,
    nodes: Vec<Node>,
    next_value: u64,
    acknowledged: Vec<u64>,
    /// Number of checks of reads that had to see at least one write.
    served: usize,
}

impl Model {
    fn new(mutation: Mutation) -> Self {
        let mut model = Self {
            mutation,
            instances: vec![Instance::default(); INSTANCES],
            nodes: (0..NODES).map(|_| Node::new()).collect(),
            next_value: 1,
            acknowledged: Vec::new(),
            served: 0,
        };
        model.elect(0, 1);
        model
    }

    fn apply(&mut self, node: usize, step: &Step) -> Result<(), String> {
        match step {
            Step::Write => self.write(node),
            Step::Replicate { to, most } => self.replicate(*to, *most),
            Step::Elect { candidate, voter } => self.elect(*candidate, *voter),
            Step::Probe { to } => {
                let status = self.instances[*to].status();
                let node = &mut self.nodes[node];
                node.send_probe(*to);
                node.probes.pop();
                node.view.record(*to, ProbeTag(node.counter), status);
            }
            Step::SendProbe { to } => self.nodes[node].send_probe(*to),
            Step::ServeProbe { pick } => {
                if let Some(probe) = self.nodes[node].probes.get_mut(*pick) {
                    probe
                        .status
                        .get_or_insert(self.instances[probe.to].status());
                }
            }
            Step::DeliverProbe { pick } => self.nodes[node].deliver(*pick),
            Step::Read => self.nodes[node].start_read(&self.acknowledged),
        }
        self.confirm_pending();
        self.check_acknowledged()?;
        self.serve_reads()
    }

    fn write(&mut self, node: usize) {
        let Some(primary) = self.nodes[node].view.primary() else {
            return;
        };
        let instance = &mut self.instances[primary.instance];
        if !instance.is_primary {
            return;
        }
        let value = self.next_value;
        self.next_value += 1;
        instance.log.push((instance.term, value));
        if self.mutation == Mutation::AcknowledgeAtOnce {
            self.acknowledged.push(value);
            return;
        }
        let node = &mut self.nodes[node];
        let commit = PendingCommit {
            instance: primary.instance,
            term: primary.term,
            returned_at: ProbeTag(node.counter),
            target: None,
        };
        node.pending.push((commit, value));
    }

    /// The primary with the newest term, at least as new as the receiver's, sends its
    /// log.
    fn replicate(&mut self, to: usize, most: usize) {
        let from = (0..INSTANCES)
            .filter(|from| *from != to && self.instances[*from].is_primary)
            .filter(|from| {
                let (sender, receiver) = (&self.instances[*from], &self.instances[to]);
                sender.term > receiver.term
                    || (sender.term == receiver.term && !receiver.is_primary)
            })
            .max_by_key(|from| self.instances[*from].term);
        let Some(from) = from else {
            return;
        };
        let sender = self.instances[from].clone();
        let receiver = &mut self.instances[to];
        receiver.term = sender.term;
        receiver.is_primary = false;
        let mut common = receiver.log.len().min(sender.log.len());
        while common > 0 && receiver.log[common - 1].0 != sender.log[common - 1].0 {
            common -= 1;
        }
        let end = (common + most).min(sender.log.len());
        if receiver.log.len() > common || end > common {
            receiver.log.truncate(common);
            receiver.log.extend_from_slice(&sender.log[common..end]);
        }
    }

    fn elect(&mut self, candidate: usize, voter: usize) {
        let wins = candidate != voter
            && self.instances[candidate].up_to_date() >= self.instances[voter].up_to_date();
        if !wins {
            return;
        }
        let newest = self.instances[candidate]
            .term
            .max(self.instances[voter].term);
        for instance in [candidate, voter] {
            self.instances[instance].term = newest + 1;
            self.instances[instance].is_primary = false;
        }
        let value = 0;
        self.instances[candidate].is_primary = true;
        self.instances[candidate].log.push((newest + 1, value));
    }

    fn confirm_pending(&mut self) {
        let promise = match self.mutation {
            Mutation::TermOnly => CommitPromise::Majority,
            _ => CommitPromise::PrimaryOnly,
        };
        let acknowledged = &mut self.acknowledged;
        for Node { view, pending, .. } in &mut self.nodes {
            pending.retain_mut(|(commit, value)| match view.confirm(commit, promise) {
                Confirmation::Pending => true,
                Confirmation::Replaced => false,
                Confirmation::Confirmed(_) => {
                    acknowledged.push(*value);
                    false
                }
            });
        }
    }

    /// Checks that every instance that a majority could elect holds all
    /// acknowledged writes.
    fn check_acknowledged(&self) -> Result<(), String> {
        for (candidate, instance) in self.instances.iter().enumerate() {
            let votes = self
                .instances
                .iter()
                .filter(|voter| instance.up_to_date() >= voter.up_to_date())
                .count();
            let missing = self
                .acknowledged
                .iter()
                .find(|value| !holds(instance, **value));
            if votes >= MAJORITY && missing.is_some() {
                return Err(format!("{candidate} can be elected without {missing:?}"));
            }
        }
        Ok(())
    }

    fn serve_reads(&mut self) -> Result<(), String> {
        for node in &self.nodes {
            for read in &node.reads {
                let Some(fence) = node.fence(read.arrived, self.mutation) else {
                    continue;
                };
                for (index, instance) in self.instances.iter().enumerate() {
                    if !node.view.has_reached(index, fence) {
                        continue;
                    }
                    self.served += usize::from(!read.must_see.is_empty());
                    let missing = read.must_see.iter().find(|value| !holds(instance, **value));
                    if missing.is_some() {
                        return Err(format!("a read on {index} misses {missing:?}"));
                    }
                }
            }
        }
        Ok(())
    }
}

fn holds(instance: &Instance, value: u64) -> bool {
    instance.log.iter().any(|(_, stored)| *stored == value)
}

/// Totals over the interleavings of a run without a violation.
#[derive(Debug, Default)]
struct Explored {
    acknowledged: usize,
    served: usize,
}

/// Runs random interleavings; the first violation is the error.
fn explore(mutation: Mutation) -> Result<Explored, String> {
    let config = Config {
        cases: CASES,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    };
    let steps = proptest::collection::vec((0..NODES, step()), STEPS);
    let explored = std::cell::RefCell::new(Explored::default());
    let result = TestRunner::new(config).run(&steps, |steps| {
        let mut model = Model::new(mutation);
        for (node, step) in &steps {
            model.apply(*node, step).map_err(TestCaseError::fail)?;
        }
        let mut explored = explored.borrow_mut();
        explored.acknowledged += model.acknowledged.len();
        explored.served += model.served;
        Ok(())
    });
    match result {
        Ok(()) => Ok(explored.into_inner()),
        Err(TestError::Fail(reason, _)) => Err(reason.message().to_owned()),
        Err(TestError::Abort(reason)) => panic!("the run was aborted: {reason}"),
    }
}

#[test]
fn acknowledged_writes_are_kept_and_read() {
    let explored = explore(Mutation::None).expect("no violation");
    // Ensures that the run checked a sufficient number of writes and reads.
    assert!(explored.acknowledged > 1_000, "{explored:?}");
    assert!(explored.served > 1_000, "{explored:?}");
}

#[test]
fn acknowledging_at_once_loses_writes() {
    let violation = explore(Mutation::AcknowledgeAtOnce).expect_err("must be noticed");
    assert!(violation.contains("can be elected without"), "{violation}");
}

#[test]
fn confirming_the_term_alone_loses_writes_of_a_weak_group() {
    let violation = explore(Mutation::TermOnly).expect_err("must be noticed");
    assert!(violation.contains("can be elected without"), "{violation}");
}

#[test]
fn a_fence_of_one_answer_gives_stale_reads() {
    let violation = explore(Mutation::FenceOfOne).expect_err("must be noticed");
    assert!(violation.contains("misses"), "{violation}");
}

#[test]
fn a_fence_of_old_answers_gives_stale_reads() {
    let violation = explore(Mutation::FenceOfOldAnswers).expect_err("must be noticed");
    assert!(violation.contains("misses"), "{violation}");
}
