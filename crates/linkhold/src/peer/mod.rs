//! Communication between nodes: membership over UDP, tables over TCP on the same
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

/// Members known to a node, itself first; readable without waiting.
pub type MemberSnapshot = Arc<ArcSwap<Vec<MemberRecord>>>;

/// How long a leaving node announces that it leaves before it stops.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(600);

/// The sockets of a node's peer port, bound before anything else starts.
pub struct PeerSockets {
    datagrams: UdpSocket,
    streams: TcpListener,
    /// Address that both sockets listen on.
    pub address: SocketAddr,
}

impl PeerSockets {
    /// Binds both sockets to one port; port 0 means any free port.
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
                // A port that is free for TCP may be in use for UDP.
                Err(error) if wanted.port() == 0 => last_error = Some(error),
                Err(error) => return Err(error),
            }
        }
        Err(last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()))
    }
}

/// The running peer services of a node. Dropping it ends them at once.
pub struct PeerService {
    /// Address at which other nodes reach this one.
    pub address: SocketAddr,
    /// Actor that owns the membership.
    pub membership: ActorRef<MembershipActor>,
    _tasks: JoinSet<()>,
}

/// Context of the peer services.
pub struct PeerContext {
    /// Settings of the node.
    pub settings: Arc<Settings>,
    /// Peer settings.
    pub peer: PeerSettings,
    /// Address that callers connect to.
    pub client_address: SocketAddr,
    /// Actor that owns the table.
    pub table_actor: ActorRef<TableActor>,
    /// Newest table version in force.
    pub table_changes: watch::Receiver<u64>,
    /// Members, published for the rest of the node.
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

    /// Announces to the other nodes that this one leaves, for `LEAVE_NOTICE_TIME`.
    pub async fn leave(&self) {
        // The actor runs as long as the service.
        let _ = self.membership.tell(Leave).await;
        tokio::time::sleep(LEAVE_NOTICE_TIME).await;
    }
}
