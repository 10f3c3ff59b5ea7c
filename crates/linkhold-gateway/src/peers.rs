//! Questions between nodes about the reachability of primaries.
//!
//! # Invariant
//!
//! No promotion rests on a sample of the fleet. A look ([`QuestionPurpose::Look`])
//! may ask some nodes; whoever replaces a primary asks everyone
//! ([`Audience::everyone`]), as listed in the store at that moment. In a large fleet the
//! watchers of the service alone try the instance when they are asked; the others tell
//! what they know of it, and agree if that is nothing.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::failover::ReachabilityTally;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::permission::agreements_needed;
use linkhold_core::service::withholding::RECENT_FAILURE;
use linkhold_core::tenancy::budget::Grant;
use linkhold_events::Event;
use linkhold_peer::{
    BudgetMessage, Datagram, MAX_DATAGRAM, PeerKey, QuestionPurpose, QuestionSubject, Reachability,
    ReachabilityMessage, decode_datagram, encode_budget, encode_reachability, milliseconds,
};
use rand::seq::SliceRandom;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout_at};

use crate::admission::{self, Asker, BudgetAnswer, BudgetRequest};
use crate::beliefs::lock;
use crate::confirmation;
use crate::gateway::Gateway;
use crate::ports::{Platform, StoreError};
use crate::registration;
use crate::survey;

/// How long answers are waited for: a peer tries the instance itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(620);
/// Datagrams may be lost: a question is asked once more after this.
const REPEAT_AFTER: Duration = Duration::from_millis(120);
/// How long what a watcher found is told to others who ask: as long as it takes to find it
/// out between regions, with a new connection.
const PROBE_LIFE: Duration = Duration::from_millis(300);
/// Pause before the socket is bound again after a failure.
const BIND_PAUSE: Duration = Duration::from_millis(500);

/// Answers by the number of their question.
type Waiting = Mutex<HashMap<u64, mpsc::UnboundedSender<PeerAnswer>>>;

/// What a node answered.
#[derive(Clone, Debug)]
struct PeerAnswer {
    from: SocketAddr,
    found: Reachability,
    leader: Option<InstanceId>,
}

/// What was found when an instance was tried last, and when. Held while it is tried.
type Probe = Arc<tokio::sync::Mutex<Option<(std::time::Instant, Reachability)>>>;

/// The node's side of questions and answers.
#[derive(Default)]
pub(crate) struct Peers {
    socket: Mutex<Option<Arc<UdpSocket>>>,
    /// Takes streams under the same number, until [`Peers::take_listener`].
    listener: Mutex<Option<TcpListener>>,
    waiting: Waiting,
    /// When this node last failed to reach an instance it was asked about.
    failures: Mutex<HashMap<InstanceId, std::time::Instant>>,
    /// Tries of instances that this node watches.
    probes: Mutex<HashMap<InstanceId, Probe>>,
}

impl Peers {
    /// Sends a datagram to a node. A lost one counts as not sent.
    pub async fn send(&self, to: SocketAddr, datagram: &[u8]) {
        if let Some(socket) = self.socket() {
            let _ = socket.send_to(datagram, to).await;
        }
    }

    /// The socket for datagrams; `None` until it is bound.
    pub fn socket(&self) -> Option<Arc<UdpSocket>> {
        lock(&self.socket).clone()
    }

    /// Where other nodes reach this one; `None` until it listens.
    pub fn address(&self) -> Option<SocketAddr> {
        self.socket()?.local_addr().ok()
    }

    /// Forgets an instance that is gone.
    pub fn forget(&self, id: &InstanceId) {
        lock(&self.probes).remove(id);
        lock(&self.failures).remove(id);
    }

    /// The listener for streams, if it was bound together with the socket.
    pub fn take_listener(&self) -> Option<TcpListener> {
        lock(&self.listener).take()
    }
}

/// Binds the socket for datagrams and, where the number is free to choose, a
/// listener for streams under the same number: another process may hold it for
/// streams.
async fn bind(address: SocketAddr) -> io::Result<(UdpSocket, Option<TcpListener>)> {
    if address.port() != 0 {
        return Ok((UdpSocket::bind(address).await?, None));
    }
    let listener = TcpListener::bind(address).await?;
    let socket = UdpSocket::bind(listener.local_addr()?).await?;
    Ok((socket, Some(listener)))
}

/// Answers other nodes' questions and passes on their answers. Runs until the
/// process ends.
pub(crate) async fn answer_questions<P: Platform>(gateway: Arc<Gateway<P>>) {
    let Some(address) = gateway.settings.peer_address else {
        return;
    };
    loop {
        match bind(address).await {
            Ok((socket, listener)) => {
                let socket = Arc::new(socket);
                // Before others learn the address.
                *lock(&gateway.peers.listener) = listener;
                *lock(&gateway.peers.socket) = Some(socket.clone());
                receive(&gateway, &socket).await;
            }
            Err(error) => Event::warn("peer_socket_failed")
                .field("error", error)
                .log(),
        }
        sleep(BIND_PAUSE).await;
    }
}

async fn receive<P: Platform>(gateway: &Arc<Gateway<P>>, socket: &Arc<UdpSocket>) {
    let mut buffer = vec![0_u8; MAX_DATAGRAM];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            return;
        };
        let Some(key) = gateway.fleet.key() else {
            continue;
        };
        match decode_datagram(&buffer[..length], &key) {
            Ok(Datagram::Budget(message)) => {
                take_budget_message(gateway, socket, from, message, &key).await;
            }
            Ok(Datagram::Reachability(ReachabilityMessage::Question {
                number,
                subject,
                purpose,
            })) => {
                let asker = Questioner {
                    socket: socket.clone(),
                    key,
                    address: from,
                    number,
                };
                tokio::spawn(answer(gateway.clone(), asker, subject, purpose));
            }
            Ok(Datagram::Reachability(ReachabilityMessage::Answer {
                number,
                found,
                leader,
            })) => {
                if let Some(sender) = lock(&gateway.peers.waiting).get(&number) {
                    let leader = leader.as_deref().map(instance_id);
                    // Whoever asked may have stopped waiting.
                    let _ = sender.send(PeerAnswer {
                        from,
                        found,
                        leader,
                    });
                }
            }
            Ok(Datagram::Reachability(ReachabilityMessage::Release { number })) => {
                gateway.beliefs.release(number);
            }
            Ok(Datagram::Reachability(ReachabilityMessage::ConfirmationQuestion { number })) => {
                let answer = confirmation::answer(gateway, number);
                // A lost answer counts as none.
                let _ = socket
                    .send_to(&encode_reachability(&answer, &key), from)
                    .await;
            }
            Ok(Datagram::Reachability(ReachabilityMessage::ConfirmationAnswer {
                number,
                agreed,
            })) => gateway.confirmations.answered(number, from, agreed),
            Err(error) => Event::warn("peer_message_refused")
                .field("from", from)
                .field("error", error)
                .log(),
        }
    }
}

/// Answers a question for a budget, or takes in what another node says of one.
async fn take_budget_message<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    socket: &UdpSocket,
    from: SocketAddr,
    message: BudgetMessage,
    key: &PeerKey,
) {
    match message {
        BudgetMessage::Question {
            number,
            tenant,
            wanted,
            unused,
            inherited,
        } => {
            let request = BudgetRequest {
                tenant: &tenant.into(),
                wanted,
                unused,
                inherited,
            };
            let answer = admission::answer(gateway, request, Asker::Peer(from));
            gateway.metrics.budget_answers.add();
            let message = budget_message(number, answer);
            // A lost answer is asked for again.
            let _ = socket.send_to(&encode_budget(&message, key), from).await;
        }
        BudgetMessage::Answer {
            number,
            amount,
            retry_after_ms,
        } => {
            let grant = Grant {
                amount,
                retry_after: Duration::from_millis(retry_after_ms),
            };
            gateway
                .quotas
                .answered(number, BudgetAnswer::Granted(grant));
        }
        BudgetMessage::Elsewhere { number, address } => match address.parse() {
            Ok(address) => {
                let answer = BudgetAnswer::Elsewhere(address);
                gateway.quotas.answered(number, answer);
            }
            Err(error) => Event::warn("peer_message_refused")
                .field("from", from)
                .field("error", error)
                .log(),
        },
        BudgetMessage::Displaced { tenant } => {
            admission::displaced(gateway, tenant.into(), from);
        }
    }
}

fn budget_message(number: u64, answer: BudgetAnswer) -> BudgetMessage {
    match answer {
        BudgetAnswer::Granted(grant) => BudgetMessage::Answer {
            number,
            amount: grant.amount,
            retry_after_ms: milliseconds(grant.retry_after),
        },
        BudgetAnswer::Elsewhere(address) => BudgetMessage::Elsewhere {
            number,
            address: address.to_string(),
        },
    }
}

/// Who asked a question, and where the answer goes.
struct Questioner {
    socket: Arc<UdpSocket>,
    key: PeerKey,
    address: SocketAddr,
    number: u64,
}

async fn answer<P: Platform>(
    gateway: Arc<Gateway<P>>,
    asker: Questioner,
    subject: QuestionSubject,
    purpose: QuestionPurpose,
) {
    let instance = match &subject {
        QuestionSubject::Instance(id) => gateway.beliefs.instance(&instance_id(id)),
        QuestionSubject::PrimaryOf(service) => gateway.beliefs.primary(service),
    };
    let found = match &instance {
        Some(instance) => find(&gateway, instance, purpose).await,
        // What it does not know, it does not use.
        None => Reachability::Unreached,
    };
    if found != Reachability::Reached && purpose == QuestionPurpose::Replace {
        gateway.beliefs.permission.agree(&subject, asker.number);
    }
    if found == Reachability::Unreached && purpose == QuestionPurpose::Replace {
        match (&instance, &subject) {
            (Some(instance), _) => gateway.beliefs.withhold(&instance.id, asker.number),
            (None, QuestionSubject::Instance(id)) => {
                gateway.beliefs.withhold(&instance_id(id), asker.number);
            }
            (None, QuestionSubject::PrimaryOf(_)) => {}
        }
    }
    let is_leader =
        found == Reachability::Reached && matches!(subject, QuestionSubject::PrimaryOf(_));
    let leader = instance.filter(|_| is_leader).map(|it| it.id.to_string());
    let message = ReachabilityMessage::Answer {
        number: asker.number,
        found,
        leader,
    };
    // A lost answer counts as none.
    let _ = asker
        .socket
        .send_to(&encode_reachability(&message, &asker.key), asker.address)
        .await;
}

fn instance_id(id: &str) -> InstanceId {
    InstanceId(id.into())
}

async fn find<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Arc<Instance>,
    purpose: QuestionPurpose,
) -> Reachability {
    let watchers = gateway
        .watchers
        .of(&gateway.settings.node, &instance.service);
    if watchers.as_ref().is_some_and(|it| !it.includes_self) {
        return known_reachability(gateway, instance);
    }
    if purpose == QuestionPurpose::Replace && has_failed_lately(gateway, instance) {
        return Reachability::Unreached;
    }
    let found = match watchers {
        Some(_) => probe(gateway, instance).await,
        None => try_to_reach(gateway, instance).await,
    };
    if found == Reachability::Unreached {
        gateway.attention.suspect(&instance.service);
    }
    found
}

/// What a node that does not watch an instance knows of it. 327 nodes that each connected
/// to one primary when they were asked, where it takes 140 connections, took it for lost
/// and asked in turn: 72,022 connections were reset within a minute.
fn known_reachability<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> Reachability {
    let lately = std::time::Instant::now().checked_sub(PROBE_LIFE);
    match lately {
        Some(moment) if gateway.answered_since(instance, moment) => Reachability::Reached,
        Some(_) | None => Reachability::Unreached,
    }
}

/// Tries an instance that this node watches: once for all who ask at about the same time.
async fn probe<P: Platform>(gateway: &Gateway<P>, instance: &Arc<Instance>) -> Reachability {
    let probe = lock(&gateway.peers.probes)
        .entry(instance.id.clone())
        .or_default()
        .clone();
    let mut last = probe.lock().await;
    if let Some((at, found)) = *last
        && at.elapsed() < PROBE_LIFE
    {
        return found;
    }
    let found = try_to_reach(gateway, instance).await;
    *last = Some((std::time::Instant::now(), found));
    found
}

async fn try_to_reach<P: Platform>(gateway: &Gateway<P>, instance: &Arc<Instance>) -> Reachability {
    let found = survey::reach_primary(gateway, instance).await;
    let mut failures = lock(&gateway.peers.failures);
    if found == Reachability::Unreached {
        failures.insert(instance.id.clone(), std::time::Instant::now());
    } else {
        failures.remove(&instance.id);
    }
    found
}

/// Whether this node failed to reach an instance a moment ago and has heard
/// nothing of it since.
fn has_failed_lately<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> bool {
    let failures = lock(&gateway.peers.failures);
    failures.get(&instance.id).is_some_and(|failed_at| {
        failed_at.elapsed() < RECENT_FAILURE && !gateway.answered_since(instance, *failed_at)
    })
}

/// Whom a question goes to.
#[derive(Clone, Debug, Default)]
pub(crate) struct Audience {
    /// Nodes whose silence counts.
    nodes: Vec<SocketAddr>,
    /// Nodes that have left the fleet's list lately without a word: what they
    /// say counts, their silence does not.
    former: Vec<SocketAddr>,
}

impl Audience {
    /// For a look: all others of a small fleet, the watchers of the service in a larger
    /// one.
    pub fn for_look<P: Platform>(gateway: &Gateway<P>, service: &ServiceName) -> Self {
        let node = &gateway.settings.node;
        let nodes = match gateway.watchers.of(node, service) {
            Some(watchers) => watchers.others.clone(),
            None => gateway.fleet.peers(node),
        };
        Self {
            nodes,
            former: Vec::new(),
        }
    }

    /// Some of them.
    pub fn sample(mut self, most: usize) -> Self {
        self.nodes.shuffle(&mut rand::rng());
        self.nodes.truncate(most);
        self
    }

    /// Everyone: as the store lists them now or, if it gives no answer and the
    /// authority itself refuses old tokens, as this node knows them. An error tells why not
    /// all of them are known.
    pub async fn everyone<P: Platform>(gateway: &Gateway<P>) -> Result<Self, &'static str> {
        match registration::list_nodes(gateway).await {
            Ok(listed) => {
                return Ok(Self {
                    nodes: listed.present,
                    former: listed.former,
                });
            }
            // The store does not list all nodes, and this one may not know them either.
            Err(StoreError::OtherEra) => return Err("store_was_restored"),
            Err(_) => {}
        }
        let known = gateway.fleet.all_peers(&gateway.settings.node);
        let nodes = known.filter(|_| gateway.platform.checks_tokens());
        let nodes = nodes.ok_or("fleet_not_known")?;
        Ok(Self {
            nodes,
            former: Vec::new(),
        })
    }
}

/// What other nodes answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerFindings {
    /// How many of the nodes whose silence counts found what; of the others, those
    /// that reach it.
    pub tally: ReachabilityTally,
    /// Nodes that reach the instance as a primary, in the order of their answers.
    pub reached_by: Vec<SocketAddr>,
    /// Former nodes that agreed, as those that do not reach it.
    pub agreed_former: usize,
    /// Former nodes that did not answer.
    pub silent_former: usize,
    /// Instances that nodes reach as the primary of the service they were asked about.
    pub leaders: Vec<InstanceId>,
}

impl PeerFindings {
    /// Whether enough of all who were asked agreed, the one that asks included, so that
    /// nobody goes on by confirmations alone.
    pub fn have_enough_agreed(&self) -> bool {
        let tally = self.tally;
        let agreed = 1 + tally.unreached + tally.not_primary + self.agreed_former;
        let asked = tally.nodes + self.agreed_former + self.silent_former;
        agreed >= agreements_needed(asked)
    }

    fn take(&mut self, answer: PeerAnswer, is_former: bool) {
        match answer.found {
            Reachability::Reached => {
                self.tally.reached += 1;
                self.reached_by.push(answer.from);
                self.leaders.extend(answer.leader);
            }
            // It stands for nobody who is waited for.
            Reachability::Unreached | Reachability::NotPrimary if is_former => {
                self.agreed_former += 1;
            }
            Reachability::Unreached => self.tally.unreached += 1,
            Reachability::NotPrimary => self.tally.not_primary += 1,
        }
    }
}

/// Tells everyone who was asked to agree that nothing is ordered; a lost word costs the
/// time for which they agreed.
pub(crate) async fn release<P: Platform>(gateway: &Gateway<P>, number: u64, audience: &Audience) {
    gateway.beliefs.release(number);
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

/// Asks other nodes whether they reach an instance, or whichever they believe in,
/// as a primary. Nothing is counted while the fleet is not known.
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
    let (sender, receiver) = mpsc::unbounded_channel();
    lock(&gateway.peers.waiting).insert(number, sender);
    let message = ReachabilityMessage::Question {
        number,
        subject,
        purpose,
    };
    let datagram = encode_reachability(&message, &key);
    let silent = collect(&socket, audience, &datagram, receiver, &mut findings).await;
    let is_former = |peer: &&SocketAddr| audience.former.contains(peer);
    findings.silent_former = silent.iter().filter(is_former).count();
    lock(&gateway.peers.waiting).remove(&number);
    findings
}

/// Takes in answers until all have come or the time is over; returns who gave none.
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
                findings.take(answer, is_former);
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

/// Sends a datagram to each of some nodes.
pub(crate) async fn send<'a>(
    socket: &UdpSocket,
    peers: impl IntoIterator<Item = &'a SocketAddr>,
    datagram: &[u8],
) {
    for peer in peers {
        // A peer that cannot be reached does not answer.
        let _ = socket.send_to(datagram, peer).await;
    }
}
