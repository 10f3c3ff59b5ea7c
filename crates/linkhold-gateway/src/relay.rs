//! Connections to a primary that this node does not reach, through a node that
//! does.
//!
//! A partition may leave a primary with some nodes only. It is not replaced,
//! since it goes on acknowledging commits; a node on the other side opens its
//! connections through a peer that answered that it reaches the primary. The
//! peer passes bytes on and decides nothing: whatever a broken connection
//! proves or leaves open holds for a relayed one as well.
//!
//! # Invariants
//!
//! * A relayed connection is not used again once it is older than
//!   [`crate::pool::LONGEST_REUSE`], so that a peer that stops loses it between requests.
//! * A peer relays to instances of its own directory only, for nodes that hold
//!   the key between nodes, and starts nothing while it is leaving.
//! * A connection for requests that may not leave some regions is relayed by a
//!   peer of these alone.
//! * A peer that agrees to the replacement of a primary breaks what it relays to it.
//!   Those whom it serves agree as well: it may not have been asked.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use linkhold_core::service::eligibility::Engagement;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::regions::AllowedRegions;
use linkhold_core::tenancy::ConnectionHolder;
use linkhold_events::Event;
use linkhold_peer::{FeedMessage, PeerKey, Reachability};
use tokio::io::copy_bidirectional;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::evidence::survey;
use crate::feed::framing::{read_message, write_message};
use crate::gateway::Gateway;
use crate::pool::{Connected, Opener};
use crate::ports::{BackendConnector, ConnectError, Platform};

/// How long a peer may take to connect to the instance and say so.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest life of a connection that is relayed for another node: one whose
/// other end has gone dark does not stand for ever.
const LONGEST_RELAY: Duration = Duration::from_secs(30);
/// How often it is looked whether what is relayed may go on.
const BARRED_LOOK_INTERVAL: Duration = Duration::from_millis(200);

impl<P: Platform> Opener<<P as BackendConnector>::Connection> for Gateway<P> {
    async fn open(
        &self,
        instance: &Instance,
        holder: &ConnectionHolder,
        regions: &AllowedRegions,
    ) -> Result<Connected<<P as BackendConnector>::Connection>, ConnectError> {
        connect(self, instance, holder, regions).await
    }

    fn open_failed(&self, instance: &Instance, error: ConnectError) {
        self.connect_failed(instance, error);
    }
}

/// Connects to an instance: directly, or through a peer in the allowed regions
/// where this node does not reach it.
async fn connect<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    holder: &ConnectionHolder,
    regions: &AllowedRegions,
) -> Result<Connected<<P as BackendConnector>::Connection>, ConnectError> {
    if !gateway.relays.is_relayed(&instance.id) {
        let connection = gateway.platform.connect(instance, holder).await?;
        return Ok(Connected {
            connection,
            relayed_through: None,
        });
    }
    let peer = gateway.relays.peer(&instance.id, regions);
    let peer = peer.ok_or(ConnectError::Unreachable)?;
    let connected = connect_through(gateway, instance, holder, peer.address).await;
    match &connected {
        Ok(_) => gateway.relays.connected(&instance.id),
        Err(error) => {
            Event::info("relay_failed")
                .field("instance", &instance.id)
                .field("peer", peer.address)
                .field("error", error)
                .log();
            gateway.relays.failed(&instance.id, peer.address);
        }
    }
    Ok(Connected {
        connection: connected?,
        relayed_through: Some(peer.region),
    })
}

async fn connect_through<P: Platform>(
    gateway: &Gateway<P>,
    instance: &Instance,
    holder: &ConnectionHolder,
    peer: SocketAddr,
) -> Result<<P as BackendConnector>::Connection, ConnectError> {
    let key = gateway.fleet.key().ok_or(ConnectError::Unreachable)?;
    let asking = ask_for_relay(peer, &instance.id, &key);
    let stream = timeout(ACCEPT_TIMEOUT, asking)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .map_err(|_| ConnectError::Unreachable)?;
    gateway
        .platform
        .connect_over(stream, instance, holder)
        .await
}

async fn ask_for_relay(peer: SocketAddr, id: &InstanceId, key: &PeerKey) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    write_message(&mut stream, &FeedMessage::Relay(id.clone()), key).await?;
    match read_message(&mut stream, key).await? {
        FeedMessage::Relayed => Ok(stream),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

/// Relays a peer's connection to an instance until either side closes it.
pub(crate) async fn serve<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    mut stream: TcpStream,
    id: &InstanceId,
    key: &PeerKey,
) {
    let Some(_serving) = gateway.relays.start_serving() else {
        return;
    };
    let Some(instance) = gateway.cluster.instance(id) else {
        return;
    };
    if gateway.is_leaving() || is_barred(gateway, &instance) {
        return;
    }
    let connecting = timeout(ACCEPT_TIMEOUT, TcpStream::connect(instance.address));
    let Ok(Ok(mut onward)) = connecting.await else {
        return;
    };
    // A socket that refuses it still works, only later.
    let _ = onward.set_nodelay(true);
    if write_message(&mut stream, &FeedMessage::Relayed, key)
        .await
        .is_err()
    {
        return;
    }
    gateway.metrics.relays_served.add();
    // However it ends, both sides are closed.
    tokio::select! {
        _ = timeout(LONGEST_RELAY, copy_bidirectional(&mut stream, &mut onward)) => {}
        () = until_barred(gateway, &instance) => {}
    }
}

/// Whether nothing may pass to an instance any more: this node has agreed to
/// acknowledge nothing of it, or its zone is evacuated.
fn is_barred<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> bool {
    let cluster = &gateway.cluster;
    // The regions of what passes are the asking node's to look after.
    let everywhere = AllowedRegions::Everywhere;
    cluster.is_withheld(&instance.id)
        || cluster
            .eligibility(instance, &everywhere, Engagement::Bound)
            .is_err()
}

async fn until_barred<P: Platform>(gateway: &Gateway<P>, instance: &Instance) {
    let mut changes = gateway.cluster.subscribe();
    while !is_barred(gateway, instance) {
        // An evacuated zone closes as time passes.
        let _ = timeout(BARRED_LOOK_INTERVAL, changes.changed()).await;
    }
}

/// Tries the direct way to instances whose connections are relayed.
pub(crate) fn try_direct_ways<P: Platform>(gateway: &Arc<Gateway<P>>) {
    for id in gateway.relays.due_for_direct_trial() {
        let Some(instance) = gateway.cluster.instance(&id) else {
            continue;
        };
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let found = survey::probe_primary(&gateway, &instance).await;
            if found != Reachability::Unreached && gateway.relays.forget(&id) {
                Event::info("relay_ended").field("instance", &id).log();
            }
        });
    }
}
