//! A follower's side of the feed.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use linkhold_core::service::listing::SentRenewals;
use linkhold_core::service::permission::{RecentClaim, Renewed};
use linkhold_core::service::readers::FOLLOWER_RENEWAL;
use linkhold_events::Event;
use linkhold_peer::{FeedMessage, ListMoment, MAX_FEED_MESSAGE, PeerKey, decode_feed};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout_at;

use super::framing::{read_length, write_message};
use super::told::{ToldFleet, ToldInstances};
use crate::beliefs::lock;
use crate::confirmation::CONFIRMATION_INTERVAL;
use crate::fleet;
use crate::gateway::Gateway;
use crate::ports::Platform;
use crate::registration;
use crate::state::FleetSource;

/// Longest time without a byte of a message that has begun: a reader's link may be
/// shared by the first words to many followers.
const STALL_TIME: Duration = Duration::from_millis(400);

/// How long a reader that is trusted may take to have a row written that lists this
/// node: two of its renewals.
const LISTING_TIMEOUT: Duration = FOLLOWER_RENEWAL.saturating_mul(2);

/// Why a reader is no longer followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LossReason {
    /// It could not be reached.
    Unreachable,
    /// It broke off, or said something that makes no sense.
    Broken,
    /// It was silent, or had itself not heard from the store.
    Stale,
    /// It lists this node, which had no permission any more: it is to come anew.
    NotAdmitted,
    /// It does not list this node.
    NotListed,
    /// This node is to follow others now, or to read the store.
    NoLongerChosen,
}

/// How long a reader is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StaleLimit {
    /// Until it has lost the store.
    UntilStale,
    /// Until this moment if it has lost the store; it may find it back before.
    Until(Instant),
}

impl StaleLimit {
    /// The moment, unless stale_limit ends before.
    fn limit(self, moment: Instant) -> Instant {
        match self {
            Self::UntilStale => moment,
            Self::Until(until) => moment.min(until),
        }
    }
}

/// Follows a reader until it is lost or no longer one of this node's readers.
/// `trusted_until` tells how long what was told may be used; it is set whenever
/// the reader is trusted.
pub(crate) async fn follow<P: Platform>(
    gateway: &Arc<Gateway<P>>,
    reader: SocketAddr,
    key: &PeerKey,
    stale_limit: StaleLimit,
    trusted_until: &mut Instant,
) -> LossReason {
    let first_word_until = stale_limit.limit(Instant::now() + gateway.freshness.first_word_time());
    let connecting = timeout_at(first_word_until.into(), TcpStream::connect(reader)).await;
    let Ok(Ok(mut stream)) = connecting else {
        return LossReason::Unreachable;
    };
    // A socket that refuses it still works, only later.
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
    let mut listener = Listener {
        gateway,
        reader,
        stale_limit,
        trusted_until,
        renewals: &renewals,
        followed_at: Instant::now(),
        told: Vec::new(),
        instances: ToldInstances::default(),
        fleet: ToldFleet::default(),
    };
    let lost = tokio::select! {
        lost = listener.listen(&mut reading, first_word_until, key) => lost,
        () = speak(gateway, &mut writing, outbox, &renewals, key) => LossReason::Broken,
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
    renewals: &Mutex<SentRenewals>,
    key: &PeerKey,
) {
    let mut renew_at = Instant::now();
    loop {
        let message = match timeout_at(renew_at.into(), outbox.recv()).await {
            Ok(Some(question)) => question,
            // The link was opened anew.
            Ok(None) => return,
            Err(_) => {
                let interval = renewal_interval(gateway);
                renew_at = Instant::now() + interval.mul_f64(rand::random_range(0.8..1.2));
                let node = fleet::own_node(gateway);
                // A node that cannot be asked has no permission.
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

/// Whoever goes on by confirmations alone asks for them often.
fn renewal_interval<P: Platform>(gateway: &Gateway<P>) -> Duration {
    if gateway.beliefs.permission.needs_confirmation() {
        CONFIRMATION_INTERVAL
    } else {
        FOLLOWER_RENEWAL
    }
}

/// Takes in what a reader says.
struct Listener<'a, P: Platform> {
    gateway: &'a Gateway<P>,
    reader: SocketAddr,
    stale_limit: StaleLimit,
    trusted_until: &'a mut Instant,
    /// What this node has told the reader of itself.
    renewals: &'a Mutex<SentRenewals>,
    /// When this stream was opened.
    followed_at: Instant,
    /// What was told and not vouched for yet.
    told: Vec<FeedMessage>,
    /// The same of instances.
    instances: ToldInstances,
    /// The same of the fleet.
    fleet: ToldFleet,
}

impl<P: Platform> Listener<'_, P> {
    /// Listens until the reader is not to be followed any more.
    async fn listen(
        &mut self,
        stream: &mut OwnedReadHalf,
        first_word_until: Instant,
        key: &PeerKey,
    ) -> LossReason {
        let mut silent_at = first_word_until;
        loop {
            let message = match self.next_message(stream, silent_at, key).await {
                Ok(message) => message,
                Err(lost) => return lost,
            };
            let next = match message {
                FeedMessage::Beat { age, list } => self.vouched(age, list),
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
                    if let Err(lost) = self.listed(number, claims) {
                        return lost;
                    }
                    continue;
                }
                FeedMessage::Confirmed { number, agreed } => {
                    self.confirmed(number, &agreed);
                    continue;
                }
                message => {
                    self.take(message);
                    // What vouches for it comes right after.
                    silent_at = silent_at.max(Instant::now() + STALL_TIME);
                    continue;
                }
            };
            match next {
                Ok(until) => silent_at = until,
                Err(lost) => return lost,
            }
        }
    }

    /// Whether the reader, which is trusted, has had no row written that lists this node
    /// for so long that it may speak for no primary any more.
    fn is_not_listed(&self, now: Instant) -> bool {
        let had_time = now.saturating_duration_since(self.followed_at) > LISTING_TIMEOUT;
        had_time && !self.gateway.beliefs.permission.is_held()
    }

    /// The reader has a row written that lists this node.
    fn listed(&self, number: u64, claims: Option<Vec<RecentClaim>>) -> Result<(), LossReason> {
        let Some(sent_at) = lock(self.renewals).confirmed(number) else {
            return Ok(());
        };
        let permission = &self.gateway.beliefs.permission;
        match (permission.record_renewal(sent_at), claims) {
            (Renewed::Continued, _) => Ok(()),
            (Renewed::ToBeAdmitted, Some(claims)) => {
                permission.record_admission(sent_at, &claims);
                Ok(())
            }
            // Whoever comes anew is told of the leases.
            (Renewed::ToBeAdmitted, None) => Err(LossReason::NotAdmitted),
        }
    }

    /// Enough nodes confirmed to the reader that it may go on.
    fn confirmed(&self, number: u64, agreed: &[String]) {
        if let Some(sent_at) = lock(self.renewals).confirmed(number) {
            self.gateway
                .beliefs
                .permission
                .record_confirmation(sent_at, agreed);
        }
    }

    /// A moment that the reader told, by this node's clock.
    fn moment_of(&self, list: Option<ListMoment>) -> Option<Instant> {
        let list = list?;
        list.after(lock(self.renewals).sent_at(list.renewal)?)
    }

    /// Keeps what is told until it is vouched for.
    fn take(&mut self, message: FeedMessage) {
        match message {
            FeedMessage::Instances(known) => self.instances.replace(known),
            FeedMessage::InstanceChanges(changes) => self.instances.change(changes),
            FeedMessage::Fleet(fleet) => self.fleet.replace(fleet),
            FeedMessage::FleetChanges(changes) => self.fleet.change(changes),
            message => self.told.push(message),
        }
    }

    /// The next message, of which something must have come by `silent_at`; the rest
    /// may take longer as long as it keeps coming.
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
        let most = Instant::now() + self.gateway.freshness.trust;
        let mut body = BytesMut::with_capacity(length);
        while body.len() < length {
            let stalls_at = silent_at.max(Instant::now() + STALL_TIME).min(most);
            let mut rest = (&mut *stream).take((length - body.len()) as u64);
            match timeout_at(stalls_at.into(), rest.read_buf(&mut body)).await {
                Ok(Ok(0) | Err(_)) => return Err(LossReason::Broken),
                Ok(Ok(_)) => {}
                Err(_) => return Err(LossReason::Stale),
            }
        }
        decode_feed(&body, key).map_err(|_| LossReason::Broken)
    }

    /// The reader vouches for what it told before; until when it may be silent.
    fn vouched(&mut self, age: Duration, list: Option<ListMoment>) -> Result<Instant, LossReason> {
        let now = Instant::now();
        let freshness = self.gateway.freshness;
        if !freshness.is_trusted(age, Duration::ZERO) {
            return match self.stale_limit {
                StaleLimit::Until(until) if now < until => Ok(until),
                StaleLimit::Until(_) | StaleLimit::UntilStale => Err(LossReason::Stale),
            };
        }
        for message in self.told.drain(..) {
            adopt(self.gateway, message);
        }
        self.fleet.adopt(self.gateway);
        self.instances.adopt(self.gateway);
        self.gateway.beliefs.directory_read();
        // Time on the way makes this too late, by less than the bound leaves.
        if let Some(moment) = now.checked_sub(age) {
            self.gateway.beliefs.evacuations_vouched(moment);
        }
        if let Some(moment) = self.moment_of(list) {
            self.gateway.beliefs.directory_vouched(moment);
        }
        let silent_at = now + (freshness.trust - age);
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

/// Takes in what a reader has told and vouched for.
fn adopt<P: Platform>(gateway: &Gateway<P>, message: FeedMessage) {
    match message {
        FeedMessage::Configuration(configuration) => {
            gateway.beliefs.adopt_configuration(configuration);
        }
        FeedMessage::Evacuations(known) => {
            let beliefs = &gateway.beliefs;
            beliefs.replace_evacuations(known.zones, known.place, Instant::now());
        }
        // A beat vouches only, instances and the fleet are kept apart; a follower has no
        // use for the others.
        FeedMessage::Beat { .. }
        | FeedMessage::Fleet(_)
        | FeedMessage::FleetChanges(_)
        | FeedMessage::Instances(_)
        | FeedMessage::InstanceChanges(_)
        | FeedMessage::Subscribe
        | FeedMessage::Renewal { .. }
        | FeedMessage::Listed { .. }
        | FeedMessage::Confirmed { .. }
        | FeedMessage::Leaving
        | FeedMessage::Relay(_)
        | FeedMessage::Relayed
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
