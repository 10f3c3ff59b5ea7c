//! The feed from nodes that read the store to those that follow them: a
//! stream of messages, each framed by its length.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::instance::Instance;
use linkhold_core::service::readers::{self, TRUST};
use linkhold_events::Event;
use linkhold_peer::{FeedMessage, FeedNode, MAX_FEED_MESSAGE, PeerKey, decode_feed, encode_feed};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, timeout_at};

use crate::fleet::{self, FleetSource};
use crate::gateway::Gateway;
use crate::ports::Platform;

/// How often a reader says that it lives.
const BEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Changes that come closer together are told together.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// How often followers are told the nodes of the fleet.
const NODES_INTERVAL: Duration = Duration::from_millis(4_000);
/// How long connecting to a reader may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a follower may take to take a message.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause before listening is tried again.
const LISTEN_PAUSE: Duration = Duration::from_millis(300);

/// Why a reader is no longer followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lost {
    /// It could not be reached.
    Unreachable,
    /// It broke off, or said something that makes no sense.
    Broken,
    /// It was silent, or had itself not heard from the store.
    Stale,
    /// This node is to follow others now, or to read the store.
    NoLongerChosen,
}

async fn write_message(
    stream: &mut TcpStream,
    message: &FeedMessage,
    key: &PeerKey,
) -> io::Result<()> {
    let body = encode_feed(message, key);
    let length = u32::try_from(body.len()).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(&body);
    timeout(WRITE_TIMEOUT, stream.write_all(&frame))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn read_message(stream: &mut TcpStream, key: &PeerKey) -> io::Result<FeedMessage> {
    let length = stream.read_u32().await? as usize;
    if length > MAX_FEED_MESSAGE {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    decode_feed(&body, key).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

/// Takes followers. Runs until the process ends.
pub(crate) async fn serve_followers<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        // Followers find it under the address by which peers are asked.
        if let Some(address) = gateway.peers.address()
            && let Ok(listener) = TcpListener::bind(address).await
        {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(tell(gateway.clone(), stream));
            }
        }
        sleep(LISTEN_PAUSE).await;
    }
}

/// What a follower was told last.
#[derive(Default)]
struct Told {
    version: u64,
    instances: Vec<(Instance, bool)>,
    nodes_at: Option<Instant>,
}

/// Tells a follower everything until it leaves or this node no longer reads
/// the store.
async fn tell<P: Platform>(gateway: Arc<Gateway<P>>, mut stream: TcpStream) {
    let Some(key) = gateway.fleet.key() else {
        return;
    };
    // A socket that refuses it still works, only later.
    let _ = stream.set_nodelay(true);
    let subscribe = timeout(CONNECT_TIMEOUT, read_message(&mut stream, &key)).await;
    if !matches!(subscribe, Ok(Ok(FeedMessage::Subscribe))) {
        return;
    }
    let mut changes = gateway.beliefs.subscribe_to_lists();
    let mut told = Told::default();
    while let Some(age) = gateway.sources.age() {
        changes.mark_unchanged();
        let messages = news(&gateway, &mut told, age);
        for message in &messages {
            if write_message(&mut stream, message, &key).await.is_err() {
                return;
            }
        }
        // Time passing is as good a reason to speak as a change.
        let _ = timeout(BEAT_INTERVAL, changes.changed()).await;
        sleep(GATHER_TIME).await;
    }
}

fn news<P: Platform>(gateway: &Gateway<P>, told: &mut Told, age: Duration) -> Vec<FeedMessage> {
    let mut messages = Vec::new();
    if let Some(configuration) = gateway.beliefs.configuration()
        && configuration.version > told.version
    {
        told.version = configuration.version;
        messages.push(FeedMessage::Configuration(configuration.as_ref().clone()));
    }
    let instances = gateway.beliefs.all_instances();
    if instances != told.instances {
        messages.push(FeedMessage::Instances(instances.clone()));
        told.instances = instances;
    }
    if told.nodes_at.is_none_or(|at| at.elapsed() > NODES_INTERVAL) {
        told.nodes_at = Some(Instant::now());
        messages.push(FeedMessage::Nodes(gateway.fleet.nodes()));
    }
    // The age goes last: it vouches for all that came before it.
    messages.push(FeedMessage::Beat { age });
    messages
}

/// Follows a reader until it is lost or `source` is no longer this node's.
pub(crate) async fn follow<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    reader: SocketAddr,
    key: &PeerKey,
    source: &FleetSource,
) -> Lost {
    let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(reader)).await;
    let Ok(Ok(mut stream)) = connecting else {
        return Lost::Unreachable;
    };
    if write_message(&mut stream, &FeedMessage::Subscribe, key)
        .await
        .is_err()
    {
        return Lost::Broken;
    }
    let mut trusted_until = Instant::now() + TRUST;
    loop {
        let reading = timeout_at(trusted_until.into(), read_message(&mut stream, key));
        let message = match reading.await {
            Ok(Ok(message)) => message,
            Ok(Err(_)) => return Lost::Broken,
            Err(_) => return Lost::Stale,
        };
        match message {
            FeedMessage::Configuration(configuration) => {
                gateway.beliefs.adopt_configuration(configuration);
            }
            FeedMessage::Instances(instances) => adopt_instances(gateway, instances),
            FeedMessage::Nodes(nodes) => {
                if !adopt_nodes(gateway, nodes, source) {
                    return Lost::NoLongerChosen;
                }
            }
            FeedMessage::Beat { age } => {
                if !readers::is_trusted(age, Duration::ZERO) {
                    return Lost::Stale;
                }
                trusted_until = Instant::now() + (TRUST - age);
                start_following(gateway, reader);
            }
            FeedMessage::Subscribe => return Lost::Broken,
        }
    }
}

fn start_following<P: Platform>(gateway: &Gateway<P>, reader: SocketAddr) {
    if !gateway.sources.is_following() && gateway.beliefs.can_serve() {
        gateway.sources.follow();
        Event::info("reader_followed").field("reader", reader).log();
    }
}

fn adopt_instances<P: Platform>(gateway: &Gateway<P>, instances: Vec<(Instance, bool)>) {
    let listed = instances
        .into_iter()
        .filter(|(_, is_listed)| *is_listed)
        .map(|(instance, _)| instance);
    gateway
        .beliefs
        .replace_instances(listed.collect(), Instant::now());
}

/// Takes in the nodes of the fleet; `false` if that changes this node's source.
fn adopt_nodes<P: Platform>(
    gateway: &Gateway<P>,
    nodes: Vec<FeedNode>,
    source: &FleetSource,
) -> bool {
    fleet::adopt_nodes(gateway, nodes);
    let zone = &gateway.settings.places.zone;
    gateway.fleet.source(&gateway.settings.node, zone) == *source
}
