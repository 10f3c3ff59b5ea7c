//! Pending questions between nodes, and results of attempts to reach instances for others.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use linkhold_core::service::acknowledged::NodeReport;
use linkhold_core::service::instance::InstanceId;
use linkhold_peer::Reachability;
use tokio::net::{TcpListener, UdpSocket};

use super::AwaitedAnswers;
use crate::cluster_state::lock;

/// A node's answer to a question about an instance or a primary.
#[derive(Clone, Debug)]
pub(crate) struct PeerAnswer {
    /// The node that answered.
    pub from: SocketAddr,
    /// Whether it reaches the instance.
    pub found: Reachability,
    /// The instance that it reaches as the primary, if it was asked about a service.
    pub primary: Option<InstanceId>,
    /// What it knows of the commits that it acknowledged, as of its answer.
    pub acknowledged: Option<NodeReport>,
    /// Nodes that the list of the asking node may lack; `None` if they were not told.
    pub joined: Option<Vec<SocketAddr>>,
}

/// A node's answer to a question for a confirmation.
#[derive(Clone, Debug)]
pub(crate) struct Confirmation {
    /// The node that answered.
    pub from: SocketAddr,
    /// The replacements it agreed to; `None` from a node that holds no permission.
    pub agreed: Option<Vec<String>>,
}

/// Time and result of the last probe of an instance. Locked during a probe.
pub(crate) type Probe = Arc<tokio::sync::Mutex<Option<(Instant, Reachability)>>>;

/// Socket, pending questions and probe results of this node.
#[derive(Default)]
pub(crate) struct Peers {
    socket: Mutex<Option<Arc<UdpSocket>>>,
    /// Accepts streams on the same port, until [`Peers::take_listener`].
    listener: Mutex<Option<TcpListener>>,
    /// Pending questions about the reachability of primaries.
    pub questions: AwaitedAnswers<PeerAnswer>,
    /// Pending questions for confirmations.
    pub confirmations: AwaitedAnswers<Confirmation>,
    /// When this node last failed to reach an instance it was asked about.
    failures: Mutex<HashMap<InstanceId, Instant>>,
    /// Probes of instances that this node watches.
    probes: Mutex<HashMap<InstanceId, Probe>>,
}

impl Peers {
    /// Sets the bound socket, and the listener if one was bound with it.
    pub fn set_socket(&self, socket: Arc<UdpSocket>, listener: Option<TcpListener>) {
        // The listener is set before other nodes learn the address.
        *lock(&self.listener) = listener;
        *lock(&self.socket) = Some(socket);
    }

    /// The last probe of an instance; the task that probes it holds the lock.
    pub fn probe(&self, id: &InstanceId) -> Probe {
        lock(&self.probes).entry(id.clone()).or_default().clone()
    }

    /// Records the result of an attempt to reach an instance.
    pub fn record_attempt(&self, id: &InstanceId, found: Reachability) {
        let mut failures = lock(&self.failures);
        if found == Reachability::Unreached {
            failures.insert(id.clone(), Instant::now());
        } else {
            failures.remove(id);
        }
    }

    /// When this node failed to reach an instance; `None` if its last attempt succeeded.
    pub fn failed_at(&self, id: &InstanceId) -> Option<Instant> {
        lock(&self.failures).get(id).copied()
    }

    /// Sends a datagram to a node. Failures are ignored: a datagram may be lost anyway.
    pub async fn send(&self, to: SocketAddr, datagram: &[u8]) {
        if let Some(socket) = self.socket() {
            let _ = socket.send_to(datagram, to).await;
        }
    }

    /// The socket for datagrams; `None` until it is bound.
    pub fn socket(&self) -> Option<Arc<UdpSocket>> {
        lock(&self.socket).clone()
    }

    /// Address at which other nodes reach this one; `None` until the socket is bound.
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
