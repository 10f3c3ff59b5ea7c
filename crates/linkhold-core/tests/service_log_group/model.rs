//! A model of a service, its instances and the nodes that use it.
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

pub const NODES: usize = 2;
const FIRST_INSTANCES: usize = 3;
/// Steps name machines by numbers below this.
pub const MACHINES: usize = 4;
const PRIMARY: usize = 0;

/// A step of a service, its instances and the nodes that use it.
#[derive(Clone, Copy, Debug)]
pub enum Step {
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
pub enum Without {
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

pub struct Run {
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
    pub fn new(synchronous: usize, without: Without) -> Self {
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
    pub fn permitted(&self, node: usize) -> Vec<usize> {
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

    pub fn take(&mut self, step: Step) -> Vec<usize> {
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
pub fn first_loss(synchronous: usize, steps: &[Step], without: Without) -> Option<usize> {
    let mut run = Run::new(synchronous, without);
    let mut steps = steps.iter().enumerate();
    steps
        .find(|(_, step)| !run.take(**step).is_empty())
        .map(|(index, _)| index)
}
