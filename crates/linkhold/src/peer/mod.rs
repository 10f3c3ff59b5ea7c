//! Nodes among themselves: membership over UDP, tables over TCP on the same
//! port.

mod membership_actor;
mod table_exchange;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use arc_swap::ArcSwap;
use kameo::actor::ActorRef;
use linkhold_core::membership::MemberRecord;
use linkhold_peer::PeerKey;
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::metrics::Metrics;
use crate::settings::{PeerSettings, Settings};
use crate::table_actor::TableActor;
pub use membership_actor::{AddSeeds, Leave, MembershipActor, state_name};

/// Members as a node sees them, itself first; readable without waiting.
pub type MemberSnapshot = Arc<ArcSwap<Vec<MemberRecord>>>;

/// Longest time a leaving node keeps telling so before it stops.
const LEAVE_TIME: Duration = Duration::from_millis(600);

/// The sockets of a node's peer port, bound before anything else starts.
pub struct PeerSockets {
    datagrams: UdpSocket,
    streams: TcpListener,
    /// Where they listen.
    pub address: SocketAddr,
}

impl PeerSockets {
    /// Binds both sockets to one port; port 0 means a free one.
    pub async fn bind(wanted: SocketAddr) -> std::io::Result<Self> {
        const ATTEMPTS: usize = 20;
        let mut last_error = None;
        for _ in 0..ATTEMPTS {
            let streams = TcpListener::bind(wanted).await?;
            let address = streams.local_addr()?;
            match UdpSocket::bind(address).await {
                Ok(datagrams) => {
                    return Ok(Self {
                        datagrams,
                        streams,
                        address,
                    });
                }
                // The free port of one kind may be taken for the other.
                Err(error) if wanted.port() == 0 => last_error = Some(error),
                Err(error) => return Err(error),
            }
        }
        Err(last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()))
    }
}

/// The running peer services of a node. Dropping it ends them at once.
pub struct PeerService {
    /// Where other nodes reach this one.
    pub address: SocketAddr,
    /// Owner of the membership.
    pub membership: ActorRef<MembershipActor>,
    _tasks: JoinSet<()>,
}

/// What the peer services work with.
pub struct PeerContext {
    /// Settings of the node.
    pub settings: Arc<Settings>,
    /// Peer settings.
    pub peer: PeerSettings,
    /// Where the node serves callers.
    pub client_address: SocketAddr,
    /// Owner of the table.
    pub table_actor: ActorRef<TableActor>,
    /// Versions as they come into force.
    pub table_changes: watch::Receiver<u64>,
    /// Members, for others to read.
    pub members: MemberSnapshot,
    /// Whether this node reads the store.
    pub is_reader: Arc<AtomicBool>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

impl PeerService {
    /// Starts the services on bound sockets.
    pub fn start(sockets: PeerSockets, context: PeerContext) -> Self {
        let key = PeerKey::new(context.peer.key.as_bytes());
        let socket = Arc::new(sockets.datagrams);
        let mut tasks = JoinSet::new();
        tasks.spawn(table_exchange::serve(
            sockets.streams,
            context.table_actor.clone(),
            key.clone(),
        ));
        let membership = membership_actor::start(socket, sockets.address, context, key, &mut tasks);
        Self {
            address: sockets.address,
            membership,
            _tasks: tasks,
        }
    }

    /// Tells the other nodes that this one leaves.
    pub async fn leave(&self) {
        // The owner lives as long as the service.
        let _ = self.membership.tell(Leave).await;
        tokio::time::sleep(LEAVE_TIME).await;
    }
}
