//! Asks other nodes about primaries, and tallies their answers.

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use linkhold_core::service::acknowledged::NodeReport;
use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::failover::ReachabilityTally;
use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::permission::agreements_needed;
use linkhold_peer::{
    QuestionPurpose, QuestionSubject, Reachability, ReachabilityMessage, encode_reachability,
    milliseconds,
};
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use crate::gateway::Gateway;
use crate::ports::{Platform, StoreError};
use crate::registration;
use crate::state::PeerAnswer;

/// How long to wait for answers: a peer tries the instance itself.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(620);
/// Datagrams may be lost: unanswered peers are asked a second time after this.
const REPEAT_AFTER: Duration = Duration::from_millis(120);

/// The nodes that a question is sent to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Audience {
    /// Nodes whose silence counts.
    nodes: Vec<SocketAddr>,
    /// Nodes whose entries expired recently without a leave notice: their answers
    /// count, their silence does not.
    former: Vec<SocketAddr>,
    /// Age of the list of nodes, if the store did not give it just now.
    list_age: Option<Duration>,
}

impl Audience {
    /// The audience of a probe: all other nodes of a small fleet, the other watchers of the
    /// service in a larger one.
    pub fn for_probe<P: Platform>(gateway: &Gateway<P>, service: &ServiceName) -> Self {
        let node = &gateway.settings.node;
        let nodes = match gateway.watchers.of(node, service) {
            Some(watchers) => watchers.others.clone(),
            None => gateway.fleet.peer_addresses(node),
        };
        Self {
            nodes,
            former: Vec::new(),
            list_age: None,
        }
    }

    /// Whether all of these nodes are asked.
    pub fn includes_all(&self, nodes: &[SocketAddr]) -> bool {
        let asked: HashSet<&SocketAddr> = self.nodes.iter().chain(&self.former).collect();
        nodes.iter().all(|node| asked.contains(node))
    }

    /// Reduces the audience to at most `max_nodes` random nodes.
    pub fn sample(mut self, max_nodes: usize) -> Self {
        self.nodes.shuffle(&mut rand::rng());
        self.nodes.truncate(max_nodes);
        self
    }

    /// All nodes as the store lists them now. If the store does not answer and the
    /// authority itself refuses old tokens, all nodes as this node knows them. The
    /// error is the reason why not all nodes are known, for the log.
    pub async fn all_nodes<P: Platform>(gateway: &Gateway<P>) -> Result<Self, &'static str> {
        match registration::list_nodes(gateway).await {
            Ok(listed) => {
                return Ok(Self {
                    nodes: listed.present,
                    former: listed.former,
                    list_age: None,
                });
            }
            // A restored store may lack nodes, and this node may not know them either.
            Err(StoreError::OtherEra) => return Err("store_was_restored"),
            Err(_) => {}
        }
        let known = gateway.fleet.all_peer_addresses(&gateway.settings.node);
        let nodes = known.filter(|_| gateway.platform.checks_tokens());
        let nodes = nodes.ok_or("fleet_not_known")?;
        Ok(Self {
            nodes,
            former: Vec::new(),
            list_age: Some(gateway.fleet.list_age().ok_or("fleet_not_known")?),
        })
    }

    /// Adds the nodes that those that agreed know, and that were not asked; returns
    /// whether there are any. The error is the reason why they are not known, for the
    /// log.
    pub fn add_joined(
        &mut self,
        findings: &PeerFindings,
        own_address: Option<SocketAddr>,
    ) -> Result<bool, &'static str> {
        if self.list_age.is_none() {
            return Ok(false);
        }
        if findings.without_joined > 0 {
            return Err("added_nodes_not_told");
        }
        let joined = findings.joined.iter().copied();
        let is_unasked =
            |node: &SocketAddr| Some(*node) != own_address && !self.nodes.contains(node);
        let unasked: BTreeSet<SocketAddr> = joined.filter(is_unasked).collect();
        let has_unasked = !unasked.is_empty();
        self.nodes.extend(unasked);
        Ok(has_unasked)
    }
}

/// Tally of other nodes' answers.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerFindings {
    /// Findings of the nodes whose silence counts, and of former nodes that reach the
    /// instance.
    pub tally: ReachabilityTally,
    /// Nodes that reach the instance as a primary, in the order of their answers.
    pub reached_by: Vec<SocketAddr>,
    /// Number of former nodes that agreed because they do not reach it.
    pub agreed_former: usize,
    /// Number of former nodes that did not answer.
    pub silent_former: usize,
    /// Instances that nodes reach as the primary of the service they were asked about.
    pub primaries: Vec<InstanceId>,
    /// What the nodes that agreed know of the commits that they acknowledged.
    pub acknowledged: Vec<NodeReport>,
    /// Number of nodes that agreed and do not report that.
    pub without_report: usize,
    /// Nodes that the list of those that were asked may lack, as the nodes that agreed
    /// know them.
    pub joined: Vec<SocketAddr>,
    /// Number of nodes that agreed and do not tell these.
    pub without_joined: usize,
}

impl PeerFindings {
    /// Whether enough of the asked nodes agreed, this one included, so that no node
    /// keeps its permission by confirmations alone.
    pub fn have_enough_agreed(&self) -> bool {
        let tally = self.tally;
        let agreed = 1 + tally.unreached + tally.not_primary + self.agreed_former;
        let asked = tally.nodes + self.agreed_former + self.silent_former;
        agreed >= agreements_needed(asked)
    }

    fn add(&mut self, answer: PeerAnswer, is_former: bool) {
        if answer.found != Reachability::Reached {
            match answer.acknowledged {
                Some(report) => self.acknowledged.push(report),
                None => self.without_report += 1,
            }
            match answer.joined {
                Some(joined) => self.joined.extend(joined),
                None => self.without_joined += 1,
            }
        }
        match answer.found {
            Reachability::Reached => {
                self.tally.reached += 1;
                self.reached_by.push(answer.from);
                self.primaries.extend(answer.primary);
            }
            // A former node is not among the nodes whose silence counts.
            Reachability::Unreached | Reachability::NotPrimary if is_former => {
                self.agreed_former += 1;
            }
            Reachability::Unreached => self.tally.unreached += 1,
            Reachability::NotPrimary => self.tally.not_primary += 1,
        }
    }
}

/// Notifies all nodes that were asked to agree that no promotion is ordered. If a
/// message is lost, its receiver withholds for the whole time for which it agreed.
pub(crate) async fn release<P: Platform>(gateway: &Gateway<P>, number: u64, audience: &Audience) {
    gateway.cluster.release(number);
    let (Some(key), Some(socket)) = (gateway.fleet.key(), gateway.peers.socket()) else {
        return;
    };
    let datagram = encode_reachability(&ReachabilityMessage::Release { number }, &key);
    let nodes: Vec<SocketAddr> = audience
        .nodes
        .iter()
        .chain(&audience.former)
        .copied()
        .collect();
    send(&socket, &nodes, &datagram).await;
}

/// Asks other nodes whether they reach an instance, or their known primary of a service, as
/// the primary. The result is empty while the fleet is not known.
pub(crate) async fn ask<P: Platform>(
    gateway: &Gateway<P>,
    number: u64,
    subject: QuestionSubject,
    purpose: QuestionPurpose,
    audience: &Audience,
) -> PeerFindings {
    let (Some(key), Some(socket)) = (gateway.fleet.key(), gateway.peers.socket()) else {
        return PeerFindings::default();
    };
    let mut findings = PeerFindings::default();
    findings.tally.nodes = audience.nodes.len() + 1;
    let receiver = gateway.peers.questions.register(number);
    let message = ReachabilityMessage::Question {
        number,
        subject,
        purpose,
        list_age_ms: audience.list_age.map(milliseconds),
    };
    let datagram = encode_reachability(&message, &key);
    let silent = collect(&socket, audience, &datagram, receiver, &mut findings).await;
    let is_former = |peer: &&SocketAddr| audience.former.contains(peer);
    findings.silent_former = silent.iter().filter(is_former).count();
    gateway.peers.questions.close(number);
    findings
}

/// Collects answers until all nodes have answered or [`ANSWER_TIMEOUT`] is over.
/// Returns the nodes that did not answer.
async fn collect(
    socket: &UdpSocket,
    audience: &Audience,
    datagram: &[u8],
    mut receiver: mpsc::UnboundedReceiver<PeerAnswer>,
    findings: &mut PeerFindings,
) -> HashSet<SocketAddr> {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let repeat_at = Instant::now() + REPEAT_AFTER;
    let asked = audience.nodes.iter().chain(&audience.former);
    let mut pending: HashSet<SocketAddr> = asked.copied().collect();
    send(socket, &pending, datagram).await;
    let mut repeated = false;
    while !pending.is_empty() {
        let until = if repeated { deadline } else { repeat_at };
        match timeout_at(until, receiver.recv()).await {
            Ok(Some(answer)) => {
                if !pending.remove(&answer.from) {
                    continue;
                }
                let is_former = audience.former.contains(&answer.from);
                findings.add(answer, is_former);
            }
            Ok(None) => break,
            Err(_) if repeated => break,
            Err(_) => {
                repeated = true;
                send(socket, &pending, datagram).await;
            }
        }
    }
    pending
}

/// Sends a datagram to each of the nodes.
pub(crate) async fn send<'a>(
    socket: &UdpSocket,
    peers: impl IntoIterator<Item = &'a SocketAddr>,
    datagram: &[u8],
) {
    for peer in peers {
        // A peer that cannot be reached counts as silent.
        let _ = socket.send_to(datagram, peer).await;
    }
}
