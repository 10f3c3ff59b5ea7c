//! A reader's side of the feed: it lists a follower and sends it all changes.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::evacuation::ZoneName;
use linkhold_core::service::readers::shed_probability;
use linkhold_core::service::store_revision::StoreRevision;
use linkhold_peer::{EvidenceQuestion, FeedMessage, PeerKey, RelativeTimestamp};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::frames::{FLEET_INTERVAL, FleetSnapshot, InstanceSnapshot};
use super::framing::{Frame, frame, read_message, write_frame};
use crate::evidence::sharing;
use crate::followers::Ticket;
use crate::gateway::Gateway;
use crate::metrics::FeedKind;
use crate::name_conflicts;
use crate::ports::Platform;
use crate::registry::Process;

/// Longest interval between two heartbeats to a follower.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Changes within this time are sent together.
const CHANGE_BATCH_TIME: Duration = Duration::from_millis(10);
/// How long a follower of a new reader waits for the store's first answers.
const FIRST_ANSWERS_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a reader waits for a follower's first renewal, and again for a row that
/// lists the follower.
const LISTING_TIME: Duration = Duration::from_millis(1_000);

/// What was last sent to a follower.
#[derive(Default)]
struct SentState {
    version: u64,
    evacuated: Vec<ZoneName>,
    instances: Option<Arc<InstanceSnapshot>>,
    revision: Option<u64>,
    fleet_at: Option<Instant>,
    fleet: Option<Arc<FleetSnapshot>>,
}

/// Serves a follower until it leaves, is shed, or this node no longer reads the store.
pub(super) async fn serve<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    stream: TcpStream,
    key: &PeerKey,
) {
    let (mut reading, writing) = stream.into_split();
    let writing = Arc::new(tokio::sync::Mutex::new(writing));
    let (arrived, arrival) = watch::channel(None);
    let _served = gateway.followers.start_stream();
    tokio::select! {
        () = send_updates(gateway, &writing, arrival, key) => {}
        () = receive(gateway, &mut reading, &writing, &arrived, key) => {}
    }
}

/// A follower that has sent its first renewal.
#[derive(Clone, Debug)]
struct Arrival {
    process: Process,
    ticket: Ticket,
}

/// The sending half of a follower's stream, shared by all tasks that write to it.
type SharedWriter = Arc<tokio::sync::Mutex<OwnedWriteHalf>>;

/// Handles a follower's messages until it leaves.
async fn receive<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    stream: &mut OwnedReadHalf,
    writing: &SharedWriter,
    arrived: &watch::Sender<Option<Arrival>>,
    key: &PeerKey,
) {
    let mut follower = None;
    while let Ok(message) = read_message(stream, key).await {
        match message {
            FeedMessage::Renewal { node, number } => {
                if name_conflicts::is_name_held_by_another(gateway, &node).await {
                    return;
                }
                let process = Process::of(&node);
                let has_arrived = follower.replace(process.clone()).as_ref() != Some(&process);
                if has_arrived {
                    let ticket = gateway.followers.add(node, number);
                    arrived.send_replace(Some(Arrival { process, ticket }));
                } else {
                    gateway.followers.record_renewal(node, number);
                }
            }
            FeedMessage::Leaving => {
                if let Some(process) = &follower {
                    gateway.followers.remove(process);
                }
                return;
            }
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
            // Followers send no other messages.
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
    let answer = sharing::answer(&gateway, &question, received_at).await;
    let answer = frame(&FeedMessage::EvidenceAnswer(answer), &key);
    // A follower that is gone needs no answer; `send_updates` ends the stream.
    let _ = send(&gateway, &writing, FeedKind::Evidence, &answer).await;
}

/// Sends a message to a follower and counts its bytes.
async fn send<P: Platform>(
    gateway: &Gateway<P>,
    writing: &SharedWriter,
    kind: FeedKind,
    frame: &[u8],
) -> io::Result<()> {
    write_frame(&mut *writing.lock().await, frame).await?;
    gateway
        .metrics
        .feed_bytes
        .count_many(kind, frame.len() as u64);
    Ok(())
}

/// Sends a follower all changes while this node reads the store. Each heartbeat carries the
/// age of the reader's data, so followers notice a reader that has lost the store.
async fn send_updates<P: Platform>(
    gateway: &Gateway<P>,
    writing: &SharedWriter,
    mut arrival: watch::Receiver<Option<Arrival>>,
    key: &PeerKey,
) {
    wait_for_first_answers(gateway).await;
    let mut changes = gateway.cluster.subscribe_to_lists();
    let mut sent = SentState::default();
    let mut is_listed = false;
    let mut shed_checked_at = Instant::now();
    while let Some(age) = gateway.sources.age() {
        if gateway.is_leaving() {
            return;
        }
        // Once per heartbeat interval, however many changes are sent meanwhile.
        if shed_checked_at.elapsed() >= HEARTBEAT_INTERVAL {
            shed_checked_at = Instant::now();
            if should_shed(gateway) {
                return;
            }
        }
        let as_of = Instant::now();
        if !is_listed && gateway.freshness.is_trusted(age, Duration::ZERO) {
            if !wait_until_listed(gateway, &mut arrival).await {
                return;
            }
            is_listed = true;
            continue;
        }
        changes.mark_unchanged();
        // Taken before the updates: the list sent is at least as recent as this moment.
        let list_as_of = list_timestamp(gateway, &arrival);
        let mut frames = if is_listed {
            updates(gateway, &mut sent, key)
        } else {
            Vec::new()
        };
        frames.extend(permission_notices(gateway, &arrival, key));
        for (kind, frame) in frames {
            if send(gateway, writing, kind, &frame).await.is_err() {
                return;
            }
        }
        // The heartbeat goes last, since it confirms all messages before it. Its age
        // includes the time that writing them took.
        let heartbeat = FeedMessage::Heartbeat {
            age: age + as_of.elapsed(),
            list_as_of,
        };
        let heartbeat = frame(&heartbeat, key);
        if send(gateway, writing, FeedKind::Heartbeat, &heartbeat)
            .await
            .is_err()
        {
            return;
        }
        // A heartbeat is due after the interval even without a change.
        let _ = timeout(HEARTBEAT_INTERVAL, changes.changed()).await;
        sleep(CHANGE_BATCH_TIME).await;
    }
}

/// As of when this node knows the list of instances, relative to the follower's last
/// renewal.
fn list_timestamp<P: Platform>(
    gateway: &Gateway<P>,
    arrival: &watch::Receiver<Option<Arrival>>,
) -> Option<RelativeTimestamp> {
    let moment = gateway.cluster.directory_as_of()?;
    let process = arrival.borrow().as_ref()?.process.clone();
    let (renewal, renewed_at) = gateway.followers.last_renewal(&process)?;
    Some(RelativeTimestamp::new(moment, renewal, renewed_at))
}

/// Waits until a new reader has the store's first answers.
async fn wait_for_first_answers<P: Platform>(gateway: &Gateway<P>) {
    let deadline = Instant::now() + FIRST_ANSWERS_TIMEOUT;
    while gateway.sources.is_reading()
        && gateway.sources.age().is_none()
        && Instant::now() < deadline
    {
        sleep(CHANGE_BATCH_TIME).await;
    }
}

/// Waits until a written row lists the follower; `false` if none does in time.
async fn wait_until_listed<P: Platform>(
    gateway: &Gateway<P>,
    arrival: &mut watch::Receiver<Option<Arrival>>,
) -> bool {
    let waiting = arrival.wait_for(Option::is_some);
    // An error means that the follower has left or sent no renewal.
    let ticket = timeout(LISTING_TIME, waiting)
        .await
        .ok()
        .and_then(|arrived| Some(arrived.ok()?.as_ref()?.ticket));
    let Some(ticket) = ticket else {
        return false;
    };
    let listing = gateway.followers.wait_until_listed(ticket, LISTING_TIME);
    listing.await
}

/// Notices to a follower that a row that lists it was written, or that enough nodes
/// confirmed this node's permission, since the last notice.
fn permission_notices<P: Platform>(
    gateway: &Gateway<P>,
    arrival: &watch::Receiver<Option<Arrival>>,
    key: &PeerKey,
) -> Vec<(FeedKind, Frame)> {
    let arrival = arrival.borrow();
    let Some(arrival) = &*arrival else {
        return Vec::new();
    };
    let listed = gateway.followers.take_listed(&arrival.process);
    let listed = listed.map(|listed| FeedMessage::Listed {
        number: listed.number,
        claims: listed.claims.as_ref().map(|known| known.aged()),
        records: listed
            .claims
            .map_or_else(Vec::new, |known| known.records.clone()),
    });
    let confirmed = gateway.followers.take_confirmed(&arrival.process);
    let confirmed = confirmed.map(|number| FeedMessage::Confirmed {
        number,
        agreed: gateway.cluster.permission.agreed(),
    });
    let messages = listed.into_iter().chain(confirmed);
    messages
        .map(|message| (FeedKind::Permission, frame(&message, key)))
        .collect()
}

/// Whether to end the stream of a follower because this reader has too many. Each stream
/// decides at random, so that some followers at a time move to another reader.
fn should_shed<P: Platform>(gateway: &Gateway<P>) -> bool {
    let share = gateway.fleet.followers_per_reader();
    let probability = shed_probability(gateway.followers.open_streams(), share);
    gateway.fleet.is_settled() && rand::random_bool(probability)
}

/// Frames of all changes that a follower was not sent yet.
fn updates<P: Platform>(
    gateway: &Gateway<P>,
    sent: &mut SentState,
    key: &PeerKey,
) -> Vec<(FeedKind, Frame)> {
    let frames = &gateway.feed_frames;
    let mut updates = Vec::new();
    // A follower starts with no evacuations unless another reader sent it some.
    let (evacuated, as_of) = gateway.cluster.evacuations();
    let has_sent = sent.revision.is_some();
    if evacuated != sent.evacuated || !has_sent && as_of != StoreRevision::default() {
        let frame = frames.evacuations(&evacuated, as_of, key);
        updates.push((FeedKind::Evacuations, frame));
        sent.evacuated = evacuated;
    }
    if let Some(configuration) = gateway.cluster.configuration()
        && configuration.version > sent.version
    {
        sent.version = configuration.version;
        let frame = frames.configuration(&configuration, key);
        updates.push((FeedKind::Configuration, frame));
    }
    let revision = gateway.cluster.list_change_count();
    if sent.revision != Some(revision) {
        sent.revision = Some(revision);
        let (present, frame) =
            frames.instances(revision, sent.instances.as_ref(), &gateway.cluster, key);
        sent.instances = Some(present);
        updates.extend(frame.map(|frame| (FeedKind::Instances, frame)));
    }
    if sent.fleet_at.is_none_or(|at| at.elapsed() > FLEET_INTERVAL)
        && let Some((present, frame)) = frames.fleet(sent.fleet.as_ref(), &gateway.fleet, key)
    {
        sent.fleet_at = Some(Instant::now());
        sent.fleet = Some(present);
        updates.extend(frame.map(|frame| (FeedKind::Fleet, frame)));
    }
    updates
}
