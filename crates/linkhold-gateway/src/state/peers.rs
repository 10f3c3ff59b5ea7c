//! Questions between nodes that wait for answers, and what was found out for others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use linkhold_core::service::instance::InstanceId;
use linkhold_peer::Reachability;
use tokio::net::{TcpListener, UdpSocket};

use super::AwaitedAnswers;
use crate::beliefs::lock;

/// What a node answered.
#[derive(Clone, Debug)]
pub(crate) struct PeerAnswer {
    /// Who answered.
    pub from: SocketAddr,
    /// How it reaches the instance.
    pub found: Reachability,
    /// The instance that it reaches as the primary, if it was asked about a service.
    pub primary: Option<InstanceId>,
}

/// A node's answer to a question for a confirmation.
#[derive(Clone, Debug)]
pub(crate) struct Confirmation {
    /// Who answered.
    pub from: SocketAddr,
    /// What it has agreed to, or `None` from one that may not tell.
    pub agreed: Option<Vec<String>>,
}

/// What was found when an instance was tried last, and when. Held while it is tried.
pub(crate) type Probe = Arc<tokio::sync::Mutex<Option<(Instant, Reachability)>>>;

/// The node's side of questions and answers.
#[derive(Default)]
pub(crate) struct Peers {
    socket: Mutex<Option<Arc<UdpSocket>>>,
    /// Takes streams under the same number, until [`Peers::take_listener`].
    listener: Mutex<Option<TcpListener>>,
    /// Questions about the reachability of primaries.
    pub questions: AwaitedAnswers<PeerAnswer>,
    /// Questions for confirmations.
    pub confirmations: AwaitedAnswers<Confirmation>,
    /// When this node last failed to reach an instance it was asked about.
    failures: Mutex<HashMap<InstanceId, Instant>>,
    /// Tries of instances that this node watches.
    probes: Mutex<HashMap<InstanceId, Probe>>,
}

impl Peers {
    /// The socket is bound, and the listener with it if there is one.
    pub fn bound(&self, socket: Arc<UdpSocket>, listener: Option<TcpListener>) {
        // Before others learn the address.
        *lock(&self.listener) = listener;
        *lock(&self.socket) = Some(socket);
    }

    /// What was found when an instance was tried last; held by whoever tries it.
    pub fn probe(&self, id: &InstanceId) -> Probe {
        lock(&self.probes).entry(id.clone()).or_default().clone()
    }

    /// This node has tried to reach an instance.
    pub fn tried(&self, id: &InstanceId, found: Reachability) {
        let mut failures = lock(&self.failures);
        if found == Reachability::Unreached {
            failures.insert(id.clone(), Instant::now());
        } else {
            failures.remove(id);
        }
    }

    /// When this node failed to reach an instance, if its last try did.
    pub fn failed_at(&self, id: &InstanceId) -> Option<Instant> {
        lock(&self.failures).get(id).copied()
    }

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
