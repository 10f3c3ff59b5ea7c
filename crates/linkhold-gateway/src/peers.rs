//! Questions between nodes about the reachability of primaries.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use linkhold_core::service::failover::ReachabilityTally;
use linkhold_core::service::instance::InstanceId;
use linkhold_events::Event;
use linkhold_peer::{
    MAX_DATAGRAM, PeerKey, Reachability, ReachabilityMessage, decode_reachability,
    encode_reachability,
};
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout_at};

use crate::beliefs::lock;
use crate::gateway::Gateway;
use crate::ports::Platform;
use crate::survey;

/// Nodes asked at the most; more would tell no more.
const MOST_ASKED: usize = 9;
/// How long answers are waited for: a peer tries the instance itself.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(620);
/// Datagrams may be lost: a question is asked once more after this.
const REPEAT_AFTER: Duration = Duration::from_millis(120);
/// Pause before the socket is bound again after a failure.
const BIND_PAUSE: Duration = Duration::from_millis(500);

/// Answers by the number of their question.
type Waiting = Mutex<HashMap<u64, mpsc::UnboundedSender<(SocketAddr, Reachability)>>>;

/// The node's side of questions and answers.
#[derive(Default)]
pub(crate) struct Peers {
    socket: Mutex<Option<Arc<UdpSocket>>>,
    waiting: Waiting,
}

impl Peers {
    /// Where other nodes reach this one; `None` until it listens.
    pub fn address(&self) -> Option<SocketAddr> {
        lock(&self.socket).as_ref()?.local_addr().ok()
    }
}

/// Answers other nodes' questions and passes on their answers. Runs until the
/// process ends.
pub(crate) async fn answer_questions<P: Platform>(gateway: Arc<Gateway<P>>) {
    let Some(address) = gateway.settings.peer_address else {
        return;
    };
    loop {
        match UdpSocket::bind(address).await {
            Ok(socket) => {
                let socket = Arc::new(socket);
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
        match decode_reachability(&buffer[..length], &key) {
            Ok(ReachabilityMessage::Question { number, instance }) => {
                let task = answer(gateway.clone(), socket.clone(), key, from, number, instance);
                tokio::spawn(task);
            }
            Ok(ReachabilityMessage::Answer { number, found }) => {
                if let Some(sender) = lock(&gateway.peers.waiting).get(&number) {
                    // Whoever asked may have stopped waiting.
                    let _ = sender.send((from, found));
                }
            }
            Err(error) => Event::warn("peer_message_refused")
                .field("from", from)
                .field("error", error)
                .log(),
        }
    }
}

async fn answer<P: Platform>(
    gateway: Arc<Gateway<P>>,
    socket: Arc<UdpSocket>,
    key: PeerKey,
    to: SocketAddr,
    number: u64,
    instance: String,
) {
    let id = InstanceId(instance.into());
    let Some(instance) = gateway.beliefs.instance(&id) else {
        return;
    };
    let found = survey::reach_primary(&gateway, &instance).await;
    if found == Reachability::Unreached {
        gateway.attention.suspect(&instance.service);
    }
    let message = ReachabilityMessage::Answer { number, found };
    // A lost answer counts as none.
    let _ = socket
        .send_to(&encode_reachability(&message, &key), to)
        .await;
}

/// What other nodes answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerFindings {
    /// How many found what.
    pub tally: ReachabilityTally,
    /// Nodes that reach the instance as a primary, in the order of their answers.
    pub reached_by: Vec<SocketAddr>,
}

/// Asks other nodes whether they reach an instance as a primary. Nothing is
/// counted while the fleet is not known.
pub(crate) async fn ask<P: Platform>(gateway: &Gateway<P>, instance: &InstanceId) -> PeerFindings {
    let mut peers = gateway.fleet.peers(&gateway.settings.node);
    peers.shuffle(&mut rand::rng());
    peers.truncate(MOST_ASKED);
    let socket = lock(&gateway.peers.socket).clone();
    let (Some(key), Some(socket)) = (gateway.fleet.key(), socket) else {
        return PeerFindings::default();
    };
    let mut findings = PeerFindings::default();
    findings.tally.nodes = peers.len() + 1;
    let number = rand::random();
    let (sender, receiver) = mpsc::unbounded_channel();
    lock(&gateway.peers.waiting).insert(number, sender);
    let message = ReachabilityMessage::Question {
        number,
        instance: instance.0.to_string(),
    };
    let datagram = encode_reachability(&message, &key);
    collect(&socket, &peers, &datagram, receiver, &mut findings).await;
    lock(&gateway.peers.waiting).remove(&number);
    findings
}

async fn collect(
    socket: &UdpSocket,
    peers: &[SocketAddr],
    datagram: &[u8],
    mut receiver: mpsc::UnboundedReceiver<(SocketAddr, Reachability)>,
    findings: &mut PeerFindings,
) {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let repeat_at = Instant::now() + REPEAT_AFTER;
    let mut answered: Vec<SocketAddr> = Vec::new();
    send(socket, peers, &answered, datagram).await;
    let mut repeated = false;
    while answered.len() < peers.len() {
        let until = if repeated { deadline } else { repeat_at };
        match timeout_at(until, receiver.recv()).await {
            Ok(Some((from, found))) if !answered.contains(&from) => {
                answered.push(from);
                let tally = &mut findings.tally;
                match found {
                    Reachability::Reached => {
                        tally.reached += 1;
                        findings.reached_by.push(from);
                    }
                    Reachability::Unreached => tally.unreached += 1,
                    Reachability::NotPrimary => tally.not_primary += 1,
                }
            }
            Ok(Some(_)) => {}
            Ok(None) => return,
            Err(_) if repeated => return,
            Err(_) => {
                repeated = true;
                send(socket, peers, &answered, datagram).await;
            }
        }
    }
}

async fn send(socket: &UdpSocket, peers: &[SocketAddr], answered: &[SocketAddr], datagram: &[u8]) {
    for peer in peers.iter().filter(|peer| !answered.contains(peer)) {
        // A peer that cannot be reached does not answer.
        let _ = socket.send_to(datagram, peer).await;
    }
}
