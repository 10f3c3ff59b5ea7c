//! One simulated node.

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

use crate::network::Location;
use crate::simulation::Mutation;

/// Port of node 0. A node's address and port encode its index.
const FIRST_PORT: u32 = 1;
const PORTS_PER_ADDRESS: u32 = 60_000;
/// Bytes of the IP and UDP headers of a datagram (RFC 791, RFC 768).
pub const DATAGRAM_OVERHEAD: u64 = 28;
/// Bytes of IP and TCP headers, handshake and close of a table exchange; each
/// message counts half.
pub const STREAM_OVERHEAD: u64 = 400;

/// A message that a node sends.
pub enum Outgoing {
    /// A membership datagram.
    Datagram {
        /// Index of the receiver.
        to: usize,
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// A table request or response on a stream.
    Table {
        /// Index of the receiver.
        to: usize,
        /// Encoded message.
        bytes: Vec<u8>,
    },
}

/// Resources that a node has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResourceUsage {
    /// Bytes sent, headers included.
    pub bytes: u64,
    /// Messages sent.
    pub messages: u64,
    /// Processor time.
    pub cpu_time: Duration,
}

/// A node's control logic with its counters.
pub struct SimulatedNode {
    /// Index in the simulation.
    pub index: usize,
    /// Region and zone.
    pub location: Location,
    /// Membership protocol.
    pub membership: Membership,
    /// Table distribution.
    pub spread: TableSpread,
    /// Whether the node runs.
    pub is_up: bool,
    /// End of the node's pause; datagrams that arrive earlier wait until then.
    pub paused_until: Duration,
    /// Resources used so far.
    pub usage: ResourceUsage,
    /// Membership changes that the node has seen, in order.
    pub changes: Vec<(Duration, MemberChange)>,
    /// Simulated time of the scheduled tick; `Duration::MAX` if none is scheduled.
    pub scheduled_tick: Duration,
    random: ChaCha8Rng,
    key: PeerKey,
    settings: MembershipSettings,
    seeds: Vec<SocketAddr>,
    mutation: Option<Mutation>,
}

/// Returns the address of the node with this index.
pub fn address_of(index: usize) -> SocketAddr {
    let index = u32::try_from(index).unwrap_or_default();
    let address = Ipv4Addr::from(0x7f00_0001 + index / PORTS_PER_ADDRESS);
    let port = FIRST_PORT + index % PORTS_PER_ADDRESS;
    SocketAddr::from((address, u16::try_from(port).unwrap_or_default()))
}

/// Returns the index of the node with this address; `None` if the address is out
/// of range.
pub fn index_of(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let host = u32::from(*address.ip()).checked_sub(0x7f00_0001)?;
    let index = host * PORTS_PER_ADDRESS + u32::from(address.port()).checked_sub(FIRST_PORT)?;
    usize::try_from(index).ok()
}

/// Returns the ID of the node with this index.
pub fn node_id(index: usize) -> NodeId {
    NodeId::of_name(&format!("node-{index}"))
}

impl SimulatedNode {
    /// Creates a node that knows only its seed addresses.
    pub fn new(
        index: usize,
        location: Location,
        settings: MembershipSettings,
        seeds: Vec<SocketAddr>,
        seed: u64,
        mutation: Option<Mutation>,
    ) -> Self {
        let now = Duration::ZERO;
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(index as u64);
        let own = own_record(index, location, 1);
        Self {
            index,
            location,
            membership: Membership::new(settings, own, seeds.clone(), now),
            spread: TableSpread::default(),
            is_up: true,
            paused_until: Duration::ZERO,
            usage: ResourceUsage::default(),
            changes: Vec::new(),
            scheduled_tick: Duration::MAX,
            random,
            key: PeerKey::new("hollow-fleet-key"),
            settings,
            seeds,
            mutation,
        }
    }

    /// Restarts the node with only its settings, like a machine without a disk.
    pub fn restart(&mut self, now: Duration) {
        // A real node uses its start time in milliseconds as its incarnation.
        let incarnation = u64::try_from(now.as_millis()).unwrap_or_default() + 2;
        let own = own_record(self.index, self.location, incarnation);
        self.membership = Membership::new(self.settings, own, self.seeds.clone(), now);
        self.spread = TableSpread::default();
        self.is_up = true;
        self.paused_until = Duration::ZERO;
    }

    /// Runs the membership work that is due.
    pub fn tick(&mut self, now: Duration) -> Vec<Outgoing> {
        let start = Instant::now();
        let output = self.membership.on_tick(now, &mut self.random);
        self.collect_output(output, now, start)
    }

    /// Handles a datagram.
    pub fn receive(&mut self, bytes: &[u8], now: Duration) -> Vec<Outgoing> {
        let start = Instant::now();
        let Ok(mut message) = decode_message(bytes, &self.key) else {
            return Vec::new();
        };
        self.apply_mutation(&mut message);
        let output = self.membership.on_message(&message, now, &mut self.random);
        let from = message.from.address;
        let action = self.spread.on_announcement(from, message.announcement, now);
        let mut outgoing = Vec::new();
        self.apply_action(action, &mut outgoing);
        outgoing.extend(self.collect_output(output, now, start));
        outgoing
    }

    /// Disables the mechanism that the mutation names, if any.
    fn apply_mutation(&mut self, message: &mut Message) {
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

    /// Handles a table message; responses go to the node `from`.
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
                self.apply_action(action, &mut outgoing);
            }
            Err(_) => {}
        }
        self.usage.cpu_time += start.elapsed();
        outgoing
    }

    /// Handles a table version that was read from the store.
    pub fn on_store_read(&mut self, version: u64, sheet: linkhold_core::table::Sheet) {
        let start = Instant::now();
        let action = self.spread.on_store_version(version, sheet);
        self.apply_action(action, &mut Vec::new());
        self.usage.cpu_time += start.elapsed();
    }

    fn apply_action(&mut self, action: Option<SpreadAction>, outgoing: &mut Vec<Outgoing>) {
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
        self.usage.bytes += bytes.len() as u64 + STREAM_OVERHEAD / 2;
        self.usage.messages += 1;
        outgoing.push(Outgoing::Table { to, bytes });
    }

    fn collect_output(&mut self, output: Output, now: Duration, start: Instant) -> Vec<Outgoing> {
        for change in output.changes {
            self.changes.push((now, change));
        }
        let mut outgoing = Vec::new();
        for send in output.messages {
            let bytes = encode_message(&send.message, &self.key);
            self.usage.bytes += bytes.len() as u64 + DATAGRAM_OVERHEAD;
            self.usage.messages += 1;
            if let Some(to) = index_of(send.to) {
                outgoing.push(Outgoing::Datagram { to, bytes });
            }
        }
        self.usage.cpu_time += start.elapsed();
        outgoing
    }
}

/// Returns the membership record that a node announces when it starts.
pub fn own_record(index: usize, location: Location, incarnation: u64) -> MemberRecord {
    MemberRecord {
        node: node_id(index),
        address: address_of(index),
        client_address: address_of(index),
        zone: location.zone,
        incarnation,
        state: MemberState::Alive,
    }
}
