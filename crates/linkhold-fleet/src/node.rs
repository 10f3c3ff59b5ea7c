//! One hollow node.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use linkhold_core::membership::{
    MemberChange, MemberRecord, MemberState, Membership, MembershipSettings, Message, NodeId,
    Output,
};
use linkhold_core::table_spread::{SpreadAction, TableRequest, TableSpread};
use linkhold_peer::{
    PeerKey, TableMessage, decode_message, decode_table, encode_message, encode_table,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::network::Place;
use crate::simulation::Mutation;

/// First port; a node's port tells its index.
const FIRST_PORT: u32 = 1;
const PORTS_PER_ADDRESS: u32 = 60_000;
/// Bytes of IP and UDP headers for each datagram (RFC 791, RFC 768).
pub const DATAGRAM_OVERHEAD: u64 = 28;
/// Bytes of IP and TCP headers, handshake and close for a table exchange.
pub const STREAM_OVERHEAD: u64 = 400;

/// Something a node sends.
pub enum Outgoing {
    /// A membership datagram.
    Datagram {
        /// Index of the receiver.
        to: usize,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// A table request or answer on a stream.
    Table {
        /// Index of the receiver.
        to: usize,
        /// Encoded message.
        bytes: Vec<u8>,
    },
}

/// What a node has spent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    /// Bytes sent, headers included.
    pub bytes: u64,
    /// Messages sent.
    pub messages: u64,
    /// Processor time.
    pub processor: Duration,
}

/// A node's control logic with its counters.
pub struct HollowNode {
    /// Index in the simulation.
    pub index: usize,
    /// Where it stands.
    pub place: Place,
    /// Membership.
    pub membership: Membership,
    /// Table.
    pub spread: TableSpread,
    /// Whether it runs.
    pub is_up: bool,
    /// Until when it is paused; messages wait.
    pub paused_until: Duration,
    /// What it has spent.
    pub spent: Spent,
    /// Changes of its view, in order.
    pub changes: Vec<(Duration, MemberChange)>,
    /// Simulated time of the tick that is scheduled.
    pub scheduled_tick: Duration,
    random: ChaCha8Rng,
    key: PeerKey,
    settings: MembershipSettings,
    seeds: Vec<SocketAddr>,
    mutation: Option<Mutation>,
}

/// Address of a node by its index.
pub fn address_of(index: usize) -> SocketAddr {
    let index = u32::try_from(index).unwrap_or_default();
    let address = Ipv4Addr::from(0x7f00_0001 + index / PORTS_PER_ADDRESS);
    let port = FIRST_PORT + index % PORTS_PER_ADDRESS;
    SocketAddr::from((address, u16::try_from(port).unwrap_or_default()))
}

/// Index of the node with this address.
pub fn index_of(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let host = u32::from(*address.ip()).checked_sub(0x7f00_0001)?;
    let index = host * PORTS_PER_ADDRESS + u32::from(address.port()).checked_sub(FIRST_PORT)?;
    usize::try_from(index).ok()
}

/// Identity of a node by its index.
pub fn node_id(index: usize) -> NodeId {
    NodeId::of_name(&format!("node-{index}"))
}

impl HollowNode {
    /// A node that knows its seeds.
    pub fn new(
        index: usize,
        place: Place,
        settings: MembershipSettings,
        seeds: Vec<SocketAddr>,
        seed: u64,
        mutation: Option<Mutation>,
    ) -> Self {
        let now = Duration::ZERO;
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(index as u64);
        let own = own_record(index, place, 1);
        Self {
            index,
            place,
            membership: Membership::new(settings, own, seeds.clone(), now),
            spread: TableSpread::default(),
            is_up: true,
            paused_until: Duration::ZERO,
            spent: Spent::default(),
            changes: Vec::new(),
            scheduled_tick: Duration::MAX,
            random,
            key: PeerKey::new("hollow-fleet-key"),
            settings,
            seeds,
            mutation,
        }
    }

    /// Starts the node again with nothing but its settings, as a machine
    /// without a disk does.
    pub fn restart(&mut self, now: Duration) {
        // The real incarnation is the time of the start in milliseconds.
        let incarnation = u64::try_from(now.as_millis()).unwrap_or_default() + 2;
        let own = own_record(self.index, self.place, incarnation);
        self.membership = Membership::new(self.settings, own, self.seeds.clone(), now);
        self.spread = TableSpread::default();
        self.is_up = true;
        self.paused_until = Duration::ZERO;
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        let start = Instant::now();
        let output = self.membership.on_tick(now, &mut self.random);
        self.finish(output, now, start)
    }

    /// Handles a datagram.
    pub fn receive(&mut self, bytes: &[u8], now: Duration) -> Vec<Outgoing> {
        let start = Instant::now();
        let Ok(mut message) = decode_message(bytes, &self.key) else {
            return Vec::new();
        };
        self.mutate(&mut message);
        let output = self.membership.on_message(&message, now, &mut self.random);
        let from = message.from.address;
        let action = self.spread.on_announcement(from, message.announcement, now);
        let mut outgoing = Vec::new();
        self.act(action, &mut outgoing);
        outgoing.extend(self.finish(output, now, start));
        outgoing
    }

    /// Applies the switched-off mechanism, if there is one.
    fn mutate(&mut self, message: &mut Message) {
        match self.mutation {
            Some(Mutation::LoseRefutations) => {
                let is_kept = |record: &MemberRecord| record.incarnation == 1;
                message.from.incarnation = 1;
                message.records.retain(is_kept);
            }
            Some(Mutation::FollowLowerVersions) => {
                let announced = message.announcement.table_version;
                if announced > 0 && announced < self.spread.version() {
                    self.spread = TableSpread::default();
                }
            }
            None => {}
        }
    }

    /// Handles a table message; an answer goes back to `from`.
    pub fn receive_table(&mut self, from: usize, bytes: &[u8]) -> Vec<Outgoing> {
        let start = Instant::now();
        let mut outgoing = Vec::new();
        match decode_table(bytes, &self.key) {
            Ok(TableMessage::Request(request)) => {
                let response = self.spread.on_request(request);
                self.send_table(from, TableMessage::Response(response), &mut outgoing);
            }
            Ok(TableMessage::Response(response)) => {
                let action = self.spread.on_response(response);
                self.act(action, &mut outgoing);
            }
            Err(_) => {}
        }
        self.spent.processor += start.elapsed();
        outgoing
    }

    /// A version was read from the store.
    pub fn read_store(&mut self, version: u64, sheet: linkhold_core::table::Sheet) {
        let start = Instant::now();
        let action = self.spread.on_store_version(version, sheet);
        self.act(action, &mut Vec::new());
        self.spent.processor += start.elapsed();
    }

    fn act(&mut self, action: Option<SpreadAction>, outgoing: &mut Vec<Outgoing>) {
        match action {
            Some(SpreadAction::Request(to, request)) => {
                if let Some(to) = index_of(to) {
                    self.request_table(to, request, outgoing);
                }
            }
            Some(SpreadAction::InForce(_)) => {
                self.membership.announce(self.spread.announcement());
            }
            Some(SpreadAction::Damaged(_)) | None => {}
        }
    }

    fn request_table(&mut self, to: usize, request: TableRequest, outgoing: &mut Vec<Outgoing>) {
        self.send_table(to, TableMessage::Request(request), outgoing);
    }

    fn send_table(&mut self, to: usize, message: TableMessage, outgoing: &mut Vec<Outgoing>) {
        let bytes = encode_table(message, &self.key);
        self.spent.bytes += bytes.len() as u64 + STREAM_OVERHEAD / 2;
        self.spent.messages += 1;
        outgoing.push(Outgoing::Table { to, bytes });
    }

    fn finish(&mut self, output: Output, now: Duration, start: Instant) -> Vec<Outgoing> {
        for change in output.changes {
            self.changes.push((now, change));
        }
        let mut outgoing = Vec::new();
        for send in output.messages {
            let bytes = encode_message(&send.message, &self.key);
            self.spent.bytes += bytes.len() as u64 + DATAGRAM_OVERHEAD;
            self.spent.messages += 1;
            if let Some(to) = index_of(send.to) {
                outgoing.push(Outgoing::Datagram { to, bytes });
            }
        }
        self.spent.processor += start.elapsed();
        outgoing
    }
}

/// What a node states of itself at a start.
pub fn own_record(index: usize, place: Place, incarnation: u64) -> MemberRecord {
    MemberRecord {
        node: node_id(index),
        address: address_of(index),
        client_address: address_of(index),
        zone: place.zone,
        incarnation,
        state: MemberState::Alive,
    }
}
