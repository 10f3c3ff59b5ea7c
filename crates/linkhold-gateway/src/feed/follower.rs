//! A follower's side of the feed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use linkhold_core::service::listing::SentRenewals;
use linkhold_core::service::permission::{RecentClaim, RenewalOutcome};
use linkhold_core::service::readers::FOLLOWER_RENEWAL_INTERVAL;
use linkhold_events::Event;
use linkhold_peer::{FeedMessage, MAX_FEED_MESSAGE, PeerKey, RelativeTimestamp, decode_feed};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use super::framing::{read_length, write_message};
use super::pending::{PendingFleet, PendingInstances};
use crate::cluster_state::lock;
use crate::confirmation::CONFIRMATION_INTERVAL;
use crate::fleet;
use crate::gateway::Gateway;
use crate::ports::Platform;
use crate::registration;
use crate::state::FleetSource;

/// Longest time without a byte of a message that has begun: the first messages to many
/// followers may share a reader's link.
const STALL_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a trusted reader may take to write a row that lists this node: two of this
/// node's renewals.
const LISTING_TIMEOUT: Duration = FOLLOWER_RENEWAL_INTERVAL.saturating_mul(2);

/// Why a reader is no longer followed, as logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossReason {
    /// The reader could not be reached.
    Unreachable,
    /// The stream broke, or a message could not be decoded.
    Broken,
    /// The reader was silent, or had no recent answer from the store itself.
    Stale,
    /// The reader lists this node, but its permission had lapsed and the notice held no
    /// claims of leases: it has to subscribe anew.
    NotAdmitted,
    /// The reader does not list this node.
    NotListed,
    /// This node has to follow other readers, or to read the store.
    NoLongerChosen,
}

/// How long a reader is followed that has lost the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StaleLimit {
    /// Not at all: the reader is given up once its data is stale.
    UntilStale,
    /// Until this moment; the reader may regain the store before.
    Until(Instant),
}

impl StaleLimit {
    /// The moment, or the end of the limit if that is earlier.
    fn limit(self, moment: Instant) -> Instant {
        match self {
            Self::UntilStale => moment,
            Self::Until(until) => moment.min(until),
        }
    }
}

/// Follows a reader until it is lost or no longer one of this node's readers. Sets
/// `trusted_until`, the moment until which the received data may be used, whenever the
/// reader is trusted.
pub(crate) async fn follow<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    reader: SocketAddr,
    key: &PeerKey,
    stale_limit: StaleLimit,
    trusted_until: &mut Instant,
) -> LossReason {
    let first_message_deadline =
        stale_limit.limit(Instant::now() + gateway.freshness.first_message_timeout());
    let connecting = timeout_at(first_message_deadline.into(), TcpStream::connect(reader)).await;
    let Ok(Ok(mut stream)) = connecting else {
        return LossReason::Unreachable;
    };
    // Without the option the socket still works, with a higher latency.
    let _ = stream.set_nodelay(true);
    if write_message(&mut stream, &FeedMessage::Subscribe, key)
        .await
        .is_err()
    {
        return LossReason::Broken;
    }
    let (mut reading, mut writing) = stream.into_split();
    let outbox = gateway.reader_link.open();
    let renewals = Mutex::new(SentRenewals::starting_at(rand::random()));
    let mut receiver = FeedReceiver {
        gateway,
        reader,
        stale_limit,
        trusted_until,
        renewals: &renewals,
        followed_at: Instant::now(),
        pending: Vec::new(),
        instances: PendingInstances::default(),
        fleet: PendingFleet::default(),
    };
    let lost = tokio::select! {
        lost = receiver.receive(&mut reading, first_message_deadline, key) => lost,
        () = send_messages(gateway, &mut writing, outbox, &renewals, key) => LossReason::Broken,
    };
    gateway.reader_link.close();
    lost
}

/// Sends renewals at intervals, and the messages of the outbox, until the stream fails.
async fn send_messages<P: Platform>(
    gateway: &Gateway<P>,
    stream: &mut OwnedWriteHalf,
    mut outbox: mpsc::UnboundedReceiver<FeedMessage>,
    renewals: &Mutex<SentRenewals>,
    key: &PeerKey,
) {
    let mut renew_at = Instant::now();
    loop {
        let message = match timeout_at(renew_at.into(), outbox.recv()).await {
            Ok(Some(question)) => question,
            // The outbox was replaced by that of a new link.
            Ok(None) => return,
            Err(_) => {
                let interval = renewal_interval(gateway);
                renew_at = Instant::now() + interval.mul_f64(rand::random_range(0.8..1.2));
                let node = fleet::own_node(gateway);
                // A node that other nodes cannot ask gets no permission: its renewals have
                // no numbers.
                let counts = node.address.is_some();
                FeedMessage::Renewal {
                    node,
                    number: counts.then(|| lock(renewals).send(Instant::now())),
                }
            }
        };
        if write_message(stream, &message, key).await.is_err() {
            return;
        }
    }
}

/// The interval between renewals: shorter while the permission rests on confirmations
/// alone.
fn renewal_interval<P: Platform>(gateway: &Gateway<P>) -> Duration {
    if gateway.cluster.permission.needs_confirmation() {
        CONFIRMATION_INTERVAL
    } else {
        FOLLOWER_RENEWAL_INTERVAL
    }
}

/// Receives and adopts a reader's messages.
struct FeedReceiver<'a, P: Platform> {
    gateway: &'a Gateway<P>,
    reader: SocketAddr,
    stale_limit: StaleLimit,
    trusted_until: &'a mut Instant,
    /// The renewals that this node sent to the reader.
    renewals: &'a Mutex<SentRenewals>,
    /// When this stream was opened.
    followed_at: Instant,
    /// Received messages that no heartbeat has confirmed yet.
    pending: Vec<FeedMessage>,
    /// Instances that no heartbeat has confirmed yet.
    instances: PendingInstances,
    /// The fleet, with changes that no heartbeat has confirmed yet.
    fleet: PendingFleet,
}

impl<P: Platform> FeedReceiver<'_, P> {
    /// Receives messages until the reader is lost.
    async fn receive(
        &mut self,
        stream: &mut OwnedReadHalf,
        first_message_deadline: Instant,
        key: &PeerKey,
    ) -> LossReason {
        let mut silent_at = first_message_deadline;
        loop {
            let message = match self.next_message(stream, silent_at, key).await {
                Ok(message) => message,
                Err(lost) => return lost,
            };
            let next = match message {
                FeedMessage::Heartbeat { age, list_as_of } => {
                    self.handle_heartbeat(age, list_as_of)
                }
                FeedMessage::EvidenceAnswer(answer) => {
                    self.gateway.reader_link.deliver(answer);
                    continue;
                }
                FeedMessage::Listed {
                    number,
                    claims,
                    records,
                } => {
                    if claims.is_some() {
                        registration::adopt_promotion_records(self.gateway, &records);
                    }
                    if let Err(lost) = self.handle_listed(number, claims) {
                        return lost;
                    }
                    continue;
                }
                FeedMessage::Confirmed { number, agreed } => {
                    self.handle_confirmed(number, &agreed);
                    continue;
                }
                message => {
                    self.hold(message);
                    // The heartbeat that confirms the message follows at once.
                    silent_at = silent_at.max(Instant::now() + STALL_TIMEOUT);
                    continue;
                }
            };
            match next {
                Ok(until) => silent_at = until,
                Err(lost) => return lost,
            }
        }
    }

    /// Whether the trusted reader has not listed this node for so long that the node has no
    /// permission any more.
    fn is_not_listed(&self, now: Instant) -> bool {
        let had_time = now.saturating_duration_since(self.followed_at) > LISTING_TIMEOUT;
        had_time && !self.gateway.cluster.permission.is_held()
    }

    /// Handles the notice that a written row lists this node.
    fn handle_listed(
        &self,
        number: u64,
        claims: Option<Vec<RecentClaim>>,
    ) -> Result<(), LossReason> {
        let Some(sent_at) = lock(self.renewals).confirm(number) else {
            return Ok(());
        };
        let permission = &self.gateway.cluster.permission;
        match (permission.record_renewal(sent_at), claims) {
            (RenewalOutcome::Continued, _) => Ok(()),
            (RenewalOutcome::NeedsAdmission, Some(claims)) => {
                permission.record_admission(sent_at, &claims);
                Ok(())
            }
            // A reader sends the claims to new followers only.
            (RenewalOutcome::NeedsAdmission, None) => Err(LossReason::NotAdmitted),
        }
    }

    /// Handles the notice that enough nodes confirmed the reader's permission.
    fn handle_confirmed(&self, number: u64, agreed: &[String]) {
        if let Some(sent_at) = lock(self.renewals).confirm(number) {
            self.gateway
                .cluster
                .permission
                .record_confirmation(sent_at, agreed);
        }
    }

    /// Converts a moment in a reader's message to this node's clock; `None` if its
    /// renewal is not known.
    fn moment_of(&self, list_as_of: Option<RelativeTimestamp>) -> Option<Instant> {
        let list_as_of = list_as_of?;
        list_as_of.resolve(lock(self.renewals).sent_at(list_as_of.renewal)?)
    }

    /// Holds a message until a heartbeat confirms it.
    fn hold(&mut self, message: FeedMessage) {
        match message {
            FeedMessage::Instances(known) => self.instances.replace(known),
            FeedMessage::InstanceChanges(changes) => self.instances.change(changes),
            FeedMessage::Fleet(fleet) => self.fleet.replace(fleet),
            FeedMessage::FleetChanges(changes) => self.fleet.change(changes),
            message => self.pending.push(message),
        }
    }

    /// Receives the next message. Its length must arrive by `silent_at`; the rest may take
    /// longer as long as bytes keep arriving.
    async fn next_message(
        &self,
        stream: &mut OwnedReadHalf,
        silent_at: Instant,
        key: &PeerKey,
    ) -> Result<FeedMessage, LossReason> {
        let length = match timeout_at(silent_at.into(), read_length(stream, MAX_FEED_MESSAGE)).await
        {
            Ok(Ok(length)) => length,
            Ok(Err(_)) => return Err(LossReason::Broken),
            Err(_) => return Err(LossReason::Stale),
        };
        let deadline = Instant::now() + self.gateway.freshness.trust_period;
        let mut body = BytesMut::with_capacity(length);
        while body.len() < length {
            let stalls_at = silent_at.max(Instant::now() + STALL_TIMEOUT).min(deadline);
            let mut rest = (&mut *stream).take((length - body.len()) as u64);
            match timeout_at(stalls_at.into(), rest.read_buf(&mut body)).await {
                Ok(Ok(0) | Err(_)) => return Err(LossReason::Broken),
                Ok(Ok(_)) => {}
                Err(_) => return Err(LossReason::Stale),
            }
        }
        decode_feed(&body, key).map_err(|_| LossReason::Broken)
    }

    /// Handles a heartbeat: adopts the pending messages if the reader's data, `age` old, is
    /// trusted. Returns until when the reader may be silent.
    fn handle_heartbeat(
        &mut self,
        age: Duration,
        list_as_of: Option<RelativeTimestamp>,
    ) -> Result<Instant, LossReason> {
        let now = Instant::now();
        let freshness = self.gateway.freshness;
        if !freshness.is_trusted(age, Duration::ZERO) {
            return match self.stale_limit {
                StaleLimit::Until(until) if now < until => Ok(until),
                StaleLimit::Until(_) | StaleLimit::UntilStale => Err(LossReason::Stale),
            };
        }
        for message in self.pending.drain(..) {
            adopt(self.gateway, message);
        }
        self.fleet.adopt(self.gateway);
        self.instances.adopt(self.gateway);
        self.gateway.cluster.directory_read_succeeded();
        // The transmission time makes this moment too late, by less than the bound on
        // changes leaves.
        if let Some(moment) = now.checked_sub(age) {
            self.gateway.cluster.confirm_evacuations_as_of(moment);
        }
        if let Some(moment) = self.moment_of(list_as_of) {
            self.gateway.cluster.confirm_directory_as_of(moment);
        }
        let silent_at = now + (freshness.trust_period - age);
        *self.trusted_until = silent_at;
        self.stale_limit = StaleLimit::UntilStale;
        start_following(self.gateway, self.reader);
        if self.is_not_listed(now) {
            return Err(LossReason::NotListed);
        }
        if !is_reader_of(self.gateway, self.reader) {
            return Err(LossReason::NoLongerChosen);
        }
        Ok(silent_at)
    }
}

/// Adopts a message that a heartbeat has confirmed.
fn adopt<P: Platform>(gateway: &Gateway<P>, message: FeedMessage) {
    match message {
        FeedMessage::Configuration(configuration) => {
            gateway.cluster.adopt_configuration(configuration);
        }
        FeedMessage::Evacuations(known) => {
            let cluster = &gateway.cluster;
            cluster.replace_evacuations(known.zones, known.revision, Instant::now());
        }
        // A heartbeat only confirms, instances and the fleet are held apart, and a
        // follower has no use for the others.
        FeedMessage::Heartbeat { .. }
        | FeedMessage::Fleet(_)
        | FeedMessage::FleetChanges(_)
        | FeedMessage::Instances(_)
        | FeedMessage::InstanceChanges(_)
        | FeedMessage::Subscribe
        | FeedMessage::Renewal { .. }
        | FeedMessage::Listed { .. }
        | FeedMessage::Confirmed { .. }
        | FeedMessage::Leaving
        | FeedMessage::RelayRequest(_)
        | FeedMessage::RelayAccepted
        | FeedMessage::Forward
        | FeedMessage::EvidenceQuestion(_)
        | FeedMessage::EvidenceAnswer(_) => {}
    }
}

fn is_reader_of<P: Platform>(gateway: &Gateway<P>, reader: SocketAddr) -> bool {
    match gateway.source() {
        FleetSource::Store | FleetSource::Unknown => false,
        FleetSource::Readers(readers) => readers.contains(&reader),
    }
}

fn start_following<P: Platform>(gateway: &Gateway<P>, reader: SocketAddr) {
    if !gateway.sources.is_following() {
        gateway.sources.start_following();
        Event::info("reader_followed").field("reader", reader).log();
    }
}
