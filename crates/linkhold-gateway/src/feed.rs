//! The feed from nodes that read the store to those that follow them: a
//! stream of messages, each framed by its length.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::Configuration;
use linkhold_core::service::readers::FOLLOWER_RENEWAL;
use linkhold_events::Event;
use linkhold_peer::{
    EvidenceQuestion, FeedInstances, FeedMessage, MAX_FEED_MESSAGE, PeerKey, decode_feed,
    encode_feed,
};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout, timeout_at};

use crate::beliefs::{Beliefs, lock};
use crate::fleet::{self, Fleet, FleetSource};
use crate::forward;
use crate::gateway::Gateway;
use crate::ports::{Cursor, Platform};
use crate::relay;
use crate::shared_evidence;

/// How often a reader says that it lives.
const BEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Changes that come closer together are told together.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// How often it is looked whether followers are to be told the fleet anew.
const FLEET_INTERVAL: Duration = Duration::from_millis(4_000);
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

pub(crate) async fn write_message<S: AsyncWrite + Unpin>(
    stream: &mut S,
    message: &FeedMessage,
    key: &PeerKey,
) -> io::Result<()> {
    write_frame(stream, &frame(message, key)).await
}

/// A message as it goes on a stream.
fn frame(message: &FeedMessage, key: &PeerKey) -> Arc<[u8]> {
    framed(&encode_feed(message, key)).into()
}

/// An encoded message behind its length.
pub(crate) fn framed(body: &[u8]) -> Vec<u8> {
    // Longer than any message: the other side refuses it.
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    let mut frame = length.to_be_bytes().to_vec();
    frame.extend_from_slice(body);
    frame
}

async fn write_frame<S: AsyncWrite + Unpin>(stream: &mut S, frame: &[u8]) -> io::Result<()> {
    timeout(WRITE_TIMEOUT, stream.write_all(frame))
        .await
        .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

pub(crate) async fn read_message<S: AsyncRead + Unpin>(
    stream: &mut S,
    key: &PeerKey,
) -> io::Result<FeedMessage> {
    let body = read_body(stream, MAX_FEED_MESSAGE).await?;
    decode_feed(&body, key).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

/// Reads a message of at most `most` bytes as it is on the stream, without its
/// length.
pub(crate) async fn read_body<S: AsyncRead + Unpin>(
    stream: &mut S,
    most: usize,
) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    if length > most {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(body)
}

/// Takes streams of other nodes. Runs until the process ends.
pub(crate) async fn serve_peers<P: Platform>(gateway: Arc<Gateway<P>>) {
    loop {
        if let Some(listener) = peer_listener(&gateway).await {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_stream(gateway.clone(), stream));
            }
        }
        sleep(LISTEN_PAUSE).await;
    }
}

/// Listens where followers find this node: under the address by which peers are
/// asked.
async fn peer_listener<P: Platform>(gateway: &Gateway<P>) -> Option<TcpListener> {
    if let Some(listener) = gateway.peers.take_listener() {
        return Some(listener);
    }
    TcpListener::bind(gateway.peers.address()?).await.ok()
}

/// An encoded message and the version of what it tells.
struct VersionedFrame {
    version: u64,
    frame: Arc<[u8]>,
}

/// Messages that are the same for all followers, encoded once.
#[derive(Default)]
pub(crate) struct FeedFrames {
    configuration: Mutex<Option<VersionedFrame>>,
    instances: Mutex<Option<VersionedFrame>>,
    fleet: Mutex<Option<FleetFrame>>,
}

/// The fleet as it was encoded last.
struct FleetFrame {
    encoded_at: Instant,
    frame: Arc<[u8]>,
}

impl FeedFrames {
    fn configuration(&self, configuration: &Configuration, key: &PeerKey) -> Arc<[u8]> {
        let message = || FeedMessage::Configuration(configuration.clone());
        cached(&self.configuration, configuration.version, key, message)
    }

    fn instances(&self, revision: u64, beliefs: &Beliefs, key: &PeerKey) -> Arc<[u8]> {
        let message = || {
            // Read first: what is listed may be newer than that, never older.
            let cursor = beliefs.directory_cursor().0;
            FeedMessage::Instances(FeedInstances {
                cursor,
                instances: beliefs.all_instances(),
            })
        };
        cached(&self.instances, revision, key, message)
    }

    fn fleet(&self, fleet: &Fleet, own_name: &str, key: &PeerKey) -> Option<Arc<[u8]>> {
        let mut known = lock(&self.fleet);
        if let Some(known) = &*known
            && known.encoded_at.elapsed() < FLEET_INTERVAL
        {
            return Some(known.frame.clone());
        }
        let encoded = frame(&FeedMessage::Fleet(fleet.for_followers(own_name)?), key);
        let unchanged = known.take().map(|known| known.frame);
        let frame = unchanged.filter(|old| *old == encoded).unwrap_or(encoded);
        *known = Some(FleetFrame {
            encoded_at: Instant::now(),
            frame: frame.clone(),
        });
        Some(frame)
    }
}

fn cached(
    slot: &Mutex<Option<VersionedFrame>>,
    version: u64,
    key: &PeerKey,
    message: impl FnOnce() -> FeedMessage,
) -> Arc<[u8]> {
    let mut known = lock(slot);
    if let Some(known) = &*known
        && known.version == version
    {
        return known.frame.clone();
    }
    let encoded = frame(&message(), key);
    *known = Some(VersionedFrame {
        version,
        frame: encoded.clone(),
    });
    encoded
}

/// What a follower was told last.
#[derive(Default)]
struct Told {
    version: u64,
    revision: Option<u64>,
    fleet_at: Option<Instant>,
    fleet: Option<Arc<[u8]>>,
}

/// Serves what another node opens a stream for.
async fn serve_stream<P: Platform>(gateway: Arc<Gateway<P>>, mut stream: TcpStream) {
    let Some(key) = gateway.fleet.key() else {
        return;
    };
    // A socket that refuses it still works, only later.
    let _ = stream.set_nodelay(true);
    let opening = timeout(CONNECT_TIMEOUT, read_message(&mut stream, &key)).await;
    match opening {
        Ok(Ok(FeedMessage::Subscribe)) => serve_follower(&gateway, stream, &key).await,
        Ok(Ok(FeedMessage::Relay(id))) => relay::serve(&gateway, stream, &id, &key).await,
        Ok(Ok(FeedMessage::Forward)) => forward::serve(&gateway, stream, &key).await,
        // Whoever opened it finds it closed.
        _ => {}
    }
}

/// Serves a follower until it leaves or this node no longer reads the store.
async fn serve_follower<P: Platform>(gateway: &Arc<Gateway<P>>, stream: TcpStream, key: &PeerKey) {
    let (mut reading, writing) = stream.into_split();
    let writing = Arc::new(tokio::sync::Mutex::new(writing));
    tokio::select! {
        () = tell(gateway, &writing, key) => {}
        () = hear(gateway, &mut reading, &writing, key) => {}
    }
}

/// The sending half of a follower's stream, shared by all who tell it something.
type SharedWriter = Arc<tokio::sync::Mutex<OwnedWriteHalf>>;

/// Takes in what a follower says, until it leaves.
async fn hear<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    stream: &mut OwnedReadHalf,
    writing: &SharedWriter,
    key: &PeerKey,
) {
    while let Ok(message) = read_message(stream, key).await {
        match message {
            FeedMessage::Renewal(node) => gateway.fleet.heard(node),
            FeedMessage::EvidenceQuestion(question) => {
                let answering = answer_evidence(
                    gateway.clone(),
                    question,
                    Instant::now(),
                    writing.clone(),
                    key.clone(),
                );
                tokio::spawn(answering);
            }
            // Nothing else comes from a follower.
            _ => return,
        }
    }
}

async fn answer_evidence<P: Platform>(
    gateway: Arc<Gateway<P>>,
    question: EvidenceQuestion,
    received_at: Instant,
    writing: SharedWriter,
    key: PeerKey,
) {
    let answer = shared_evidence::answer(&gateway, &question, received_at).await;
    let message = FeedMessage::EvidenceAnswer(answer);
    // A follower that is gone needs no answer; `tell` finds out.
    let _ = write_message(&mut *writing.lock().await, &message, &key).await;
}

/// Tells a follower everything as long as this node reads the store.
async fn tell<P: Platform>(gateway: &Gateway<P>, writing: &SharedWriter, key: &PeerKey) {
    let mut changes = gateway.beliefs.subscribe_to_lists();
    let mut told = Told::default();
    while let Some(age) = gateway.sources.age() {
        changes.mark_unchanged();
        for frame in news(gateway, &mut told, key) {
            if write_frame(&mut *writing.lock().await, &frame)
                .await
                .is_err()
            {
                return;
            }
        }
        // The age goes last: it vouches for all that came before it.
        let beat = FeedMessage::Beat { age };
        if write_message(&mut *writing.lock().await, &beat, key)
            .await
            .is_err()
        {
            return;
        }
        // Time passing is as good a reason to speak as a change.
        let _ = timeout(BEAT_INTERVAL, changes.changed()).await;
        sleep(GATHER_TIME).await;
    }
}

/// What a follower has not been told yet.
fn news<P: Platform>(gateway: &Gateway<P>, told: &mut Told, key: &PeerKey) -> Vec<Arc<[u8]>> {
    let frames = &gateway.feed_frames;
    let mut news = Vec::new();
    if let Some(configuration) = gateway.beliefs.configuration()
        && configuration.version > told.version
    {
        told.version = configuration.version;
        news.push(frames.configuration(&configuration, key));
    }
    let revision = gateway.beliefs.lists_revision();
    if told.revision != Some(revision) {
        told.revision = Some(revision);
        news.push(frames.instances(revision, &gateway.beliefs, key));
    }
    if told.fleet_at.is_none_or(|at| at.elapsed() > FLEET_INTERVAL)
        && let Some(frame) = frames.fleet(&gateway.fleet, &gateway.settings.node, key)
    {
        told.fleet_at = Some(Instant::now());
        if told.fleet.as_ref() != Some(&frame) {
            told.fleet = Some(frame.clone());
            news.push(frame);
        }
    }
    news
}

/// Follows a reader until it is lost or no longer one of this node's readers.
/// `trusted_until` tells how long what was told may be used.
pub(crate) async fn follow<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    reader: SocketAddr,
    key: &PeerKey,
    trusted_until: &mut Instant,
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
    let (mut reading, mut writing) = stream.into_split();
    let outbox = gateway.reader_link.open();
    let lost = tokio::select! {
        lost = listen(gateway, reader, &mut reading, key, trusted_until) => lost,
        () = speak(gateway, &mut writing, outbox, key) => Lost::Broken,
    };
    gateway.reader_link.close();
    lost
}

/// Tells the reader at intervals that this node lives, and passes questions on,
/// until it cannot.
async fn speak<P: Platform>(
    gateway: &Gateway<P>,
    stream: &mut OwnedWriteHalf,
    mut outbox: mpsc::UnboundedReceiver<FeedMessage>,
    key: &PeerKey,
) {
    let mut renew_at = Instant::now();
    loop {
        let message = match timeout_at(renew_at.into(), outbox.recv()).await {
            Ok(Some(question)) => question,
            // The link was opened anew.
            Ok(None) => return,
            Err(_) => {
                renew_at = Instant::now() + FOLLOWER_RENEWAL.mul_f64(rand::random_range(0.8..1.2));
                FeedMessage::Renewal(fleet::own_node(gateway))
            }
        };
        if write_message(stream, &message, key).await.is_err() {
            return;
        }
    }
}

/// Takes in what the reader says until it is not to be followed any more.
async fn listen<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    reader: SocketAddr,
    stream: &mut OwnedReadHalf,
    key: &PeerKey,
    trusted_until: &mut Instant,
) -> Lost {
    let freshness = gateway.freshness;
    // A new reader gets its time even if nothing is trusted now.
    let mut silent_at = Instant::now() + freshness.trust;
    // What was told and not vouched for yet.
    let mut told: Vec<FeedMessage> = Vec::new();
    loop {
        let reading = timeout_at(silent_at.into(), read_message(stream, key));
        let message = match reading.await {
            Ok(Ok(message)) => message,
            Ok(Err(_)) => return Lost::Broken,
            Err(_) => return Lost::Stale,
        };
        let age = match message {
            FeedMessage::Beat { age } => age,
            FeedMessage::EvidenceAnswer(answer) => {
                gateway.reader_link.answered(answer);
                continue;
            }
            message => {
                told.push(message);
                continue;
            }
        };
        if !freshness.is_trusted(age, Duration::ZERO) {
            return Lost::Stale;
        }
        for message in told.drain(..) {
            adopt(gateway, message);
        }
        gateway.beliefs.directory_read();
        silent_at = Instant::now() + (freshness.trust - age);
        *trusted_until = silent_at;
        start_following(gateway, reader);
        if !is_reader_of(gateway, reader) {
            return Lost::NoLongerChosen;
        }
    }
}

/// Takes in what a reader has told and vouched for.
fn adopt<P: Platform>(gateway: &Gateway<P>, message: FeedMessage) {
    match message {
        FeedMessage::Configuration(configuration) => {
            gateway.beliefs.adopt_configuration(configuration);
        }
        FeedMessage::Instances(known) => adopt_instances(gateway, known),
        FeedMessage::Fleet(fleet) => fleet::adopt_fleet(gateway, fleet),
        // A beat vouches only; a follower has no use for the others.
        FeedMessage::Beat { .. }
        | FeedMessage::Subscribe
        | FeedMessage::Renewal(_)
        | FeedMessage::Relay(_)
        | FeedMessage::Relayed
        | FeedMessage::Forward
        | FeedMessage::EvidenceQuestion(_)
        | FeedMessage::EvidenceAnswer(_) => {}
    }
}

fn is_reader_of<P: Platform>(gateway: &Gateway<P>, reader: SocketAddr) -> bool {
    match gateway.fleet.source(&gateway.settings.node) {
        FleetSource::Store => false,
        FleetSource::Readers(readers) => readers.contains(&reader),
    }
}

fn start_following<P: Platform>(gateway: &Gateway<P>, reader: SocketAddr) {
    if !gateway.sources.is_following() && gateway.beliefs.can_serve() {
        gateway.sources.follow();
        Event::info("reader_followed").field("reader", reader).log();
    }
}

fn adopt_instances<P: Platform>(gateway: &Gateway<P>, known: FeedInstances) {
    let listed = known
        .instances
        .into_iter()
        .filter(|(_, is_listed)| *is_listed)
        .map(|(instance, _)| instance);
    let cursor = Cursor(known.cursor);
    gateway
        .beliefs
        .replace_instances(listed.collect(), cursor, Instant::now());
}
