//! A reader's side of the feed: it lists a follower and tells it everything.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use linkhold_core::service::evacuation::ZoneName;
use linkhold_core::service::readers::shed_probability;
use linkhold_core::service::store_place::StorePlace;
use linkhold_peer::{EvidenceQuestion, FeedMessage, ListMoment, PeerKey};
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

/// How often a reader says that it lives.
const BEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Changes that come closer together are told together.
const GATHER_TIME: Duration = Duration::from_millis(10);
/// How long a follower of a node that has just taken up reading waits for the
/// store's first answers.
const FIRST_ANSWERS_TIME: Duration = Duration::from_millis(500);
/// How long a follower waits until a row lists it.
const LISTING_TIME: Duration = Duration::from_millis(1_000);

/// What a follower was told last.
#[derive(Default)]
struct Told {
    version: u64,
    evacuated: Vec<ZoneName>,
    instances: Option<Arc<InstanceSnapshot>>,
    revision: Option<u64>,
    fleet_at: Option<Instant>,
    fleet: Option<Arc<FleetSnapshot>>,
}

/// Serves a follower until it leaves, is to go elsewhere, or this node no longer
/// reads the store.
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
        () = tell(gateway, &writing, arrival, key) => {}
        () = hear(gateway, &mut reading, &writing, &arrived, key) => {}
    }
}

/// A follower that has said who it is.
#[derive(Clone, Debug)]
struct Arrival {
    process: Process,
    ticket: Ticket,
}

/// The sending half of a follower's stream, shared by all who tell it something.
type SharedWriter = Arc<tokio::sync::Mutex<OwnedWriteHalf>>;

/// Takes in what a follower says, until it leaves.
async fn hear<P: Platform>(
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
    let answer = sharing::answer(&gateway, &question, received_at).await;
    let answer = frame(&FeedMessage::EvidenceAnswer(answer), &key);
    // A follower that is gone needs no answer; `tell` finds out.
    let _ = send(&gateway, &writing, FeedKind::Evidence, &answer).await;
}

/// Sends a follower a message, and counts its bytes.
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

/// Tells a follower everything as long as this node reads the store. A reader
/// that has lost the store says so, with the age of what it knows.
async fn tell<P: Platform>(
    gateway: &Gateway<P>,
    writing: &SharedWriter,
    mut arrival: watch::Receiver<Option<Arrival>>,
    key: &PeerKey,
) {
    wait_for_first_answers(gateway).await;
    let mut changes = gateway.beliefs.subscribe_to_lists();
    let mut told = Told::default();
    let mut is_listed = false;
    let mut looked_at = Instant::now();
    while let Some(age) = gateway.sources.age() {
        if gateway.is_leaving() {
            return;
        }
        // Once a beat, however much there is to tell meanwhile.
        if looked_at.elapsed() >= BEAT_INTERVAL {
            looked_at = Instant::now();
            if is_one_too_many(gateway) {
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
        // Known before what is told: that is as new at the least.
        let list = list_moment(gateway, &arrival);
        let mut frames = if is_listed {
            news(gateway, &mut told, key)
        } else {
            Vec::new()
        };
        frames.extend(about_permission(gateway, &arrival, key));
        for (kind, frame) in frames {
            if send(gateway, writing, kind, &frame).await.is_err() {
                return;
            }
        }
        // It goes last, since it vouches for all that came before it; writing
        // that may have taken its time.
        let beat = FeedMessage::Beat {
            age: age + as_of.elapsed(),
            list,
        };
        let beat = frame(&beat, key);
        if send(gateway, writing, FeedKind::Beat, &beat).await.is_err() {
            return;
        }
        // Time passing is as good a reason to speak as a change.
        let _ = timeout(BEAT_INTERVAL, changes.changed()).await;
        sleep(GATHER_TIME).await;
    }
}

/// As of when this node knows the list of instances, as a follower is told.
fn list_moment<P: Platform>(
    gateway: &Gateway<P>,
    arrival: &watch::Receiver<Option<Arrival>>,
) -> Option<ListMoment> {
    let moment = gateway.beliefs.directory_as_of()?;
    let process = arrival.borrow().as_ref()?.process.clone();
    let (renewal, renewed_at) = gateway.followers.last_renewal(&process)?;
    Some(ListMoment::new(moment, renewal, renewed_at))
}

/// Waits until a node that has just taken up reading knows what it is to tell.
async fn wait_for_first_answers<P: Platform>(gateway: &Gateway<P>) {
    let deadline = Instant::now() + FIRST_ANSWERS_TIME;
    while gateway.sources.is_reading()
        && gateway.sources.age().is_none()
        && Instant::now() < deadline
    {
        sleep(GATHER_TIME).await;
    }
}

/// Waits until a written row lists the follower.
async fn wait_until_listed<P: Platform>(
    gateway: &Gateway<P>,
    arrival: &mut watch::Receiver<Option<Arrival>>,
) -> bool {
    let waiting = arrival.wait_for(Option::is_some);
    // An error: it has left, or does not say who it is.
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

/// What a follower is told when a row that lists it was written, or enough nodes
/// confirmed, since it was told last.
fn about_permission<P: Platform>(
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
        agreed: gateway.beliefs.permission.agreed(),
    });
    let messages = listed.into_iter().chain(confirmed);
    messages
        .map(|message| (FeedKind::Permission, frame(&message, key)))
        .collect()
}

/// Whether this follower is to go to another reader, since this one has too many: some at a
/// time do, each decides for itself.
fn is_one_too_many<P: Platform>(gateway: &Gateway<P>) -> bool {
    let share = gateway.fleet.followers_per_reader();
    let probability = shed_probability(gateway.followers.open_streams(), share);
    gateway.fleet.is_settled() && rand::random_bool(probability)
}

/// What a follower has not been told yet.
fn news<P: Platform>(
    gateway: &Gateway<P>,
    told: &mut Told,
    key: &PeerKey,
) -> Vec<(FeedKind, Frame)> {
    let frames = &gateway.feed_frames;
    let mut news = Vec::new();
    // None at all is what a follower starts with, unless another reader told it some.
    let (evacuated, as_of) = gateway.beliefs.evacuations();
    let has_told = told.revision.is_some();
    if evacuated != told.evacuated || !has_told && as_of != StorePlace::default() {
        let frame = frames.evacuations(&evacuated, as_of, key);
        news.push((FeedKind::Evacuations, frame));
        told.evacuated = evacuated;
    }
    if let Some(configuration) = gateway.beliefs.configuration()
        && configuration.version > told.version
    {
        told.version = configuration.version;
        let frame = frames.configuration(&configuration, key);
        news.push((FeedKind::Configuration, frame));
    }
    let revision = gateway.beliefs.lists_revision();
    if told.revision != Some(revision) {
        told.revision = Some(revision);
        let (present, frame) =
            frames.instances(revision, told.instances.as_ref(), &gateway.beliefs, key);
        told.instances = Some(present);
        news.extend(frame.map(|frame| (FeedKind::Instances, frame)));
    }
    if told.fleet_at.is_none_or(|at| at.elapsed() > FLEET_INTERVAL)
        && let Some((present, frame)) = frames.fleet(told.fleet.as_ref(), &gateway.fleet, key)
    {
        told.fleet_at = Some(Instant::now());
        told.fleet = Some(present);
        news.extend(frame.map(|frame| (FeedKind::Fleet, frame)));
    }
    news
}
