//! Actor that owns a node's membership: drives the state machine with datagrams
//! and time, and sends the messages that it returns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::message::{Context, Message};
use linkhold_core::membership::{
    MemberRecord, MemberState, Membership, MembershipSettings, NodeId, Output,
};
use linkhold_core::rendezvous::owners;
use linkhold_core::table_spread::TableRequest;
use linkhold_peer::{MAX_DATAGRAM, PeerKey, decode_message, encode_message};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinSet;
use xxhash_rust::xxh3::xxh3_64;

use super::table_exchange::fetch;
use super::{MemberSnapshot, PeerContext};
use crate::log_event::{Event, EventName};
use crate::metrics::{Metrics, count};
use crate::table_actor::{GetAnnouncement, PeerAnnounced, PeerResponded, TableActor};

/// How often the state machine is given the time; much shorter than its periods.
const TICK: Duration = Duration::from_millis(50);
/// Nodes of a fleet that read the store.
const TABLE_READERS: usize = 3;
const TABLE_DUTY: &str = "table";

/// Actor that owns a [`Membership`].
#[derive(Actor)]
pub struct MembershipActor {
    membership: Membership,
    started: Instant,
    socket: Arc<UdpSocket>,
    key: PeerKey,
    members: MemberSnapshot,
    is_reader: Arc<AtomicBool>,
    table_actor: ActorRef<TableActor>,
    metrics: Arc<Metrics>,
}

/// Time has passed.
struct Tick;

/// A datagram has arrived.
struct Datagram {
    bytes: Vec<u8>,
}

/// Another table version is in force on this node.
struct TableChanged;

/// This node is about to stop.
pub struct Leave;

/// Addresses at which other nodes may be reached; they are only hints.
pub struct AddSeeds(pub Vec<SocketAddr>);

/// Starts the actor and the tasks that send messages to it.
pub fn start(
    socket: Arc<UdpSocket>,
    address: SocketAddr,
    context: PeerContext,
    key: PeerKey,
    tasks: &mut JoinSet<()>,
) -> ActorRef<MembershipActor> {
    let own = MemberRecord {
        node: NodeId::of_name(&context.settings.node),
        address,
        client_address: context.client_address,
        zone: xxh3_64(context.settings.zone.as_bytes()) as u32,
        incarnation: unix_milliseconds(),
        state: MemberState::Alive,
    };
    let membership = Membership::new(
        MembershipSettings::default(),
        own,
        context.peer.seeds,
        Duration::ZERO,
    );
    let state = MembershipActor {
        membership,
        started: Instant::now(),
        socket: socket.clone(),
        key,
        members: context.members,
        is_reader: context.is_reader,
        table_actor: context.table_actor,
        metrics: context.metrics,
    };
    state.publish();
    let actor = MembershipActor::spawn(state);
    tasks.spawn(receive(socket, actor.clone()));
    tasks.spawn(tick(actor.clone()));
    tasks.spawn(follow_table(context.table_changes, actor.clone()));
    actor
}

async fn receive(socket: Arc<UdpSocket>, actor: ActorRef<MembershipActor>) {
    // One byte longer than the limit, so that a datagram over the limit is detected.
    let mut buffer = vec![0; MAX_DATAGRAM + 1];
    loop {
        // Errors come from earlier sends to closed ports; ignore them.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let bytes = buffer[..length].to_vec();
        if actor.tell(Datagram { bytes }).await.is_err() {
            return;
        }
    }
}

async fn tick(actor: ActorRef<MembershipActor>) {
    while actor.tell(Tick).await.is_ok() {
        tokio::time::sleep(TICK).await;
    }
}

async fn follow_table(mut changes: watch::Receiver<u64>, actor: ActorRef<MembershipActor>) {
    while changes.changed().await.is_ok() {
        if actor.tell(TableChanged).await.is_err() {
            return;
        }
    }
}

fn unix_milliseconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
}

impl MembershipActor {
    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    async fn apply_output(&mut self, output: Output) {
        for change in &output.changes {
            Event::info(EventName::MemberChanged)
                .field("member", change.node)
                .field("state", state_name(change.state))
                .field("incarnation", change.incarnation)
                .log();
        }
        if !output.changes.is_empty() {
            self.publish();
        }
        for send in output.messages {
            let bytes = encode_message(&send.message, &self.key);
            count(&self.metrics.peer_messages_sent);
            self.metrics
                .peer_bytes_sent
                .fetch_add(bytes.len() as u64, Ordering::Relaxed);
            // A failed send is treated like a datagram lost on the network.
            let _ = self.socket.send_to(&bytes, send.to).await;
        }
    }

    fn publish(&self) {
        let own = *self.membership.own();
        let others = self.membership.members().map(|member| member.record);
        let members = [own].into_iter().chain(others).collect();
        self.members.store(Arc::new(members));
        let readers = owners(TABLE_DUTY, self.membership.duty_nodes(), TABLE_READERS);
        let reads = readers.contains(&own.node);
        self.is_reader.store(reads, Ordering::Relaxed);
    }

    /// Fetches a newer table in the background.
    fn fetch_table(&self, from: SocketAddr, request: TableRequest) {
        let table_actor = self.table_actor.clone();
        let key = self.key.clone();
        tokio::spawn(async move {
            let Some(response) = fetch(from, request, &key).await else {
                return;
            };
            // The actor stops only when the node ends.
            let _ = table_actor.tell(PeerResponded(response)).await;
        });
    }
}

impl Message<Tick> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, Self::Reply>) {
        let now = self.now();
        if now < self.membership.next_tick() {
            return;
        }
        let output = self.membership.on_tick(now, &mut rand::rng());
        self.apply_output(output).await;
    }
}

impl Message<Datagram> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, datagram: Datagram, _: &mut Context<Self, Self::Reply>) {
        let message = match decode_message(&datagram.bytes, &self.key) {
            Ok(message) => message,
            Err(_) => {
                count(&self.metrics.peer_messages_dropped);
                return;
            }
        };
        let now = self.now();
        let output = self.membership.on_message(&message, now, &mut rand::rng());
        self.apply_output(output).await;
        let announced = PeerAnnounced {
            from: message.from.address,
            announcement: message.announcement,
        };
        if let Ok(Some((from, request))) = self.table_actor.ask(announced).await {
            self.fetch_table(from, request);
        }
    }
}

impl Message<TableChanged> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: TableChanged, _: &mut Context<Self, Self::Reply>) {
        if let Ok(announcement) = self.table_actor.ask(GetAnnouncement).await {
            self.membership.announce(announcement);
        }
    }
}

impl Message<Leave> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, Self::Reply>) {
        self.membership.leave();
        self.publish();
    }
}

impl Message<AddSeeds> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, seeds: AddSeeds, _: &mut Context<Self, Self::Reply>) {
        self.membership.add_seeds(seeds.0);
    }
}

/// Name of a state in logs and listings.
pub fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Leaving => "leaving",
        MemberState::Suspect => "suspect",
        MemberState::Dead => "dead",
    }
}
