//! Relayed connections: connections to a primary that this node does not reach, through
//! a node that does.
//!
//! After a partition, only some nodes may reach a primary. It is not replaced, since it
//! goes on acknowledging commits; a node on the other side opens its connections
//! through a peer that answered that it reaches the primary. The peer only passes bytes
//! on: whatever a broken connection proves or leaves open holds for a relayed one as
//! well.
//!
//! # Invariants
//!
//! * A relayed connection is not reused once it is older than
//!   [`crate::pool::MAX_RELAYED_AGE`], so that a peer that stops loses it between
//!   requests.
//! * A peer relays only to instances of its own directory and for nodes that hold the
//!   fleet's key, and starts no relay while it is leaving.
//! * A connection for requests that are restricted to some regions is relayed only by a
//!   peer in these regions.
//! * A peer that agrees to the replacement of a primary closes what it relays to it.
//!   The nodes that it relays for agree as well, since the peer may not have been asked.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use linkhold_core::service::eligibility::StatementBinding;
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

/// How long a peer may take to connect to the instance and confirm it.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a connection is relayed for another node at most, so that one whose other
/// end went silent does not stay open forever.
const MAX_RELAY_TIME: Duration = Duration::from_secs(30);
/// How often a relay checks whether it may go on.
const FORBIDDEN_CHECK_INTERVAL: Duration = Duration::from_millis(200);

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

/// Connects to an instance: directly or, if this node does not reach it, through a peer
/// in the allowed regions.
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
        Ok(_) => gateway.relays.extend(&instance.id),
        Err(error) => {
            Event::info("relay_failed")
                .field("instance", &instance.id)
                .field("peer", peer.address)
                .field("error", error)
                .log();
            gateway.relays.remove_peer(&instance.id, peer.address);
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
    let requesting = request_relay(peer, &instance.id, &key);
    let stream = timeout(ACCEPT_TIMEOUT, requesting)
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
        .map_err(|_| ConnectError::Unreachable)?;
    gateway
        .platform
        .connect_over(stream, instance, holder)
        .await
}

async fn request_relay(peer: SocketAddr, id: &InstanceId, key: &PeerKey) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(peer).await?;
    stream.set_nodelay(true)?;
    write_message(&mut stream, &FeedMessage::RelayRequest(id.clone()), key).await?;
    match read_message(&mut stream, key).await? {
        FeedMessage::RelayAccepted => Ok(stream),
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
    let Some(_guard) = gateway.relays.start_relay() else {
        return;
    };
    let Some(instance) = gateway.cluster.instance(id) else {
        return;
    };
    if gateway.is_leaving() || is_relaying_forbidden(gateway, &instance) {
        return;
    }
    let connecting = timeout(ACCEPT_TIMEOUT, TcpStream::connect(instance.address));
    let Ok(Ok(mut onward)) = connecting.await else {
        return;
    };
    // A socket that refuses the option still works, with more latency.
    let _ = onward.set_nodelay(true);
    if write_message(&mut stream, &FeedMessage::RelayAccepted, key)
        .await
        .is_err()
    {
        return;
    }
    gateway.metrics.relays_served.add();
    // Both sides are closed, whatever ends the relay.
    tokio::select! {
        _ = timeout(MAX_RELAY_TIME, copy_bidirectional(&mut stream, &mut onward)) => {}
        () = until_forbidden(gateway, &instance) => {}
    }
}

/// Whether nothing may be relayed to an instance any more: this node has agreed to
/// acknowledge nothing that it commits, or its zone is evacuated.
fn is_relaying_forbidden<P: Platform>(gateway: &Gateway<P>, instance: &Instance) -> bool {
    let cluster = &gateway.cluster;
    // The asking node checks the regions of its requests.
    let everywhere = AllowedRegions::Everywhere;
    cluster.is_withheld(&instance.id)
        || cluster
            .eligibility(instance, &everywhere, StatementBinding::Bound)
            .is_err()
}

async fn until_forbidden<P: Platform>(gateway: &Gateway<P>, instance: &Instance) {
    let mut changes = gateway.cluster.subscribe();
    while !is_relaying_forbidden(gateway, instance) {
        // An evacuated zone becomes ineligible as time passes, without a change.
        let _ = timeout(FORBIDDEN_CHECK_INTERVAL, changes.changed()).await;
    }
}

/// Tries to connect directly to instances whose connections are relayed.
pub(crate) fn try_direct_connections<P: Platform>(gateway: &Arc<Gateway<P>>) {
    for id in gateway.relays.due_for_direct_attempt() {
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
