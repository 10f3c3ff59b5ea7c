//! Rows by which nodes register in the metadata store.
//!
//! A node that reads the store has a row of its own, keyed by zone and name. A
//! reader's row also lists its followers, so that a large fleet is written and
//! read in few rows. The key between nodes is a row of the same table: a starting
//! node gets all that it needs to talk to others in one call.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use linkhold_core::service::permission::EXPIRED_NODE_PERIOD;
use linkhold_core::service::readers::{READER_EXPIRY, ROW_EXPIRY, SETTLING_TIME};
use linkhold_core::service::store_revision::{Era, StoreRevision};
use linkhold_events::Event;
use linkhold_peer::{FeedNode, MAX_FEED_MESSAGE, PeerKey, milliseconds};
use serde::{Deserialize, Serialize};

use crate::ports::{StoreError, StoredRow, StoredRows};

/// Row of the key between nodes. No zone's rows sort before it.
pub const PEER_KEY_ROW: &str = "!key";
/// Row that records since when nodes know the store's era. No zone's rows sort before it.
pub const ERA_ROW: &str = "!era";
/// Most followers in one row: a row holds 64 KiB, an entry takes up to 50 bytes once
/// packed. A reader has up to 100 followers, but more for some seconds while a fleet
/// starts and finds few readers at first.
pub const MAX_FOLLOWERS: usize = 1_200;

/// Value of the era row: since when nodes know the store's era.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EraRow {
    /// The era.
    pub era: u32,
    /// When a node first saw the era, on the store's clock in milliseconds; 0 if the store
    /// was already in it when the first node ever started.
    pub since: u64,
}

/// A process that runs as a node. A paused process may resume after another one was started
/// under its name, so a name alone does not identify a process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    /// Name of its node.
    pub name: String,
    /// Address at which other nodes reach it; `None` if they cannot.
    pub address: Option<SocketAddr>,
}

impl Process {
    /// The process described by a node's entry.
    pub fn of(node: &FeedNode) -> Self {
        Self {
            name: node.name.clone(),
            address: node.address,
        }
    }
}

/// A registered node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The node.
    pub node: FeedNode,
    /// Time since its last renewal.
    pub age: Duration,
}

impl Registration {
    /// Whether the node counts as present in the fleet.
    pub fn is_present(&self) -> bool {
        self.age < ROW_EXPIRY
    }

    /// Whether the node is asked before a primary is replaced: it is present, or was until
    /// recently.
    pub fn is_consulted(&self) -> bool {
        self.age < ROW_EXPIRY + EXPIRED_NODE_PERIOD
    }
}

/// A node's row.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct NodeRow {
    /// Its name.
    name: String,
    /// Address at which other nodes reach it.
    address: Option<SocketAddr>,
    /// Its zone.
    zone: String,
    /// Bandwidth of its link in Mbit/s; 0 if unknown.
    #[serde(default, skip_serializing_if = "is_unknown")]
    bandwidth: u32,
    /// Time of its last renewal, on the store's clock in milliseconds.
    renewed_at: u64,
    /// When it became a reader, on the same clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    reads_since: Option<u64>,
    /// Its followers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    followers: Vec<NodeRow>,
}

// Serde requires this signature for `skip_serializing_if`.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_unknown(bandwidth: &u32) -> bool {
    *bandwidth == 0
}

impl NodeRow {
    fn new(registration: &Registration, now: u64) -> Self {
        let age = milliseconds(registration.age);
        let node = &registration.node;
        Self {
            name: node.name.clone(),
            address: node.address,
            zone: node.zone.clone(),
            bandwidth: node.bandwidth,
            renewed_at: now.saturating_sub(age),
            reads_since: None,
            followers: Vec::new(),
        }
    }

    fn registration(&self, now: u64) -> Registration {
        Registration {
            node: FeedNode {
                name: self.name.clone(),
                zone: self.zone.clone(),
                address: self.address,
                bandwidth: self.bandwidth,
            },
            age: Duration::from_millis(now.saturating_sub(self.renewed_at)),
        }
    }
}

/// Key of a node's row: the zone comes first, so that the rows of a zone are adjacent.
pub fn row_key(zone: &str, name: &str) -> String {
    format!("{zone}/{name}")
}

/// A row to be written.
pub struct NewRow {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Vec<u8>,
}

/// Encodes the row of a node that reads the store, with its followers, written at `now` on
/// the store's clock.
pub fn encode_row(
    own: FeedNode,
    reads_since: Option<u64>,
    followers: &[Registration],
    now: u64,
) -> Result<NewRow, StoreError> {
    let registration = Registration {
        node: own,
        age: Duration::ZERO,
    };
    let mut row = NodeRow::new(&registration, now);
    row.reads_since = reads_since;
    encode(row, followers, now)
}

/// Encodes the row of a node that has left, with those of its followers that must still be
/// consulted, written at `now` on the store's clock.
pub fn encode_followers_only(
    own: FeedNode,
    followers: &[Registration],
    now: u64,
) -> Result<NewRow, StoreError> {
    let deregistered = Registration {
        node: FeedNode {
            address: None,
            ..own
        },
        age: ROW_EXPIRY + EXPIRED_NODE_PERIOD,
    };
    encode(NodeRow::new(&deregistered, now), followers, now)
}

fn encode(mut row: NodeRow, followers: &[Registration], now: u64) -> Result<NewRow, StoreError> {
    row.followers = followers
        .iter()
        .map(|follower| NodeRow::new(follower, now))
        .collect();
    Ok(NewRow {
        key: row_key(&row.zone, &row.name),
        value: pack_if_large(serde_json::to_vec(&row).map_err(|_| StoreError::Malformed)?),
    })
}

/// Rows of at least this length, in bytes, are packed: every starting node reads all rows.
/// The row of a reader with thirty followers shrinks to a sixth.
const PACKING_THRESHOLD: usize = 2_048;
/// First byte of a row that is not packed.
const JSON_OBJECT_START: u8 = b'{';

fn pack_if_large(row: Vec<u8>) -> Vec<u8> {
    if row.len() < PACKING_THRESHOLD {
        return row;
    }
    linkhold_peer::pack(&row)
}

fn unpack_if_packed(value: &[u8]) -> Cow<'_, [u8]> {
    if value.first() == Some(&JSON_OBJECT_START) {
        return Cow::Borrowed(value);
    }
    // A value that cannot be unpacked is passed on and fails to decode as a row.
    linkhold_peer::unpack(value, MAX_FEED_MESSAGE).map_or(Cow::Borrowed(value), Cow::Owned)
}

/// A node as the rows list it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node and the time since its last renewal.
    pub registration: Registration,
    /// When it became a reader; `None` if a row lists it as a follower since.
    pub reads_since: Option<u64>,
}

impl Member {
    /// Whether the node counts as present.
    pub fn is_present(&self) -> bool {
        self.registration.is_present()
    }

    /// When the node became a reader; `None` if it no longer reads.
    pub fn active_reader_since(&self) -> Option<u64> {
        self.reads_since
            .filter(|_| self.registration.age < READER_EXPIRY)
    }
}

/// All rows of the table, decoded.
#[derive(Clone)]
pub struct Registry {
    /// The store's clock, in milliseconds.
    pub now: u64,
    /// When the rows were requested, which is before the store read its clock.
    pub asked_at: Instant,
    /// The key between nodes, once a node has made it.
    pub key: Option<PeerKey>,
    /// Nodes by name, present and former; of several processes of one name, the one with
    /// the latest renewal.
    pub members: BTreeMap<String, Member>,
    /// All processes, present and former, each with its latest renewal.
    pub processes: BTreeMap<Process, Registration>,
    /// The followers that this node's own row lists.
    pub own_followers: Vec<Registration>,
    /// Version of this node's own row; the default if it has none.
    pub own_version: StoreRevision,
    /// The process that wrote this node's own row.
    pub own_writer: Option<Process>,
    /// The store's era.
    pub era: Era,
    /// The era row; `None` if it does not exist or cannot be decoded.
    pub era_row: Option<EraRow>,
    /// Version of the era row; the default if there is none.
    pub era_version: StoreRevision,
}

impl Registry {
    /// Decodes the rows for the node named `own`. A row that cannot be decoded is logged
    /// and skipped.
    pub fn decode(rows: &StoredRows, asked_at: Instant, own: &str) -> Self {
        let mut registry = Self {
            now: rows.now,
            asked_at,
            key: None,
            members: BTreeMap::new(),
            processes: BTreeMap::new(),
            own_followers: Vec::new(),
            own_version: StoreRevision::default(),
            own_writer: None,
            era: rows.era,
            era_row: None,
            era_version: StoreRevision::default(),
        };
        for row in &rows.rows {
            if row.key == PEER_KEY_ROW {
                registry.key = Some(PeerKey::new(row.value.clone()));
            } else if row.key == ERA_ROW {
                registry.era_row = serde_json::from_slice(&row.value).ok();
                registry.era_version = row.version;
            } else {
                registry.add_row(row, own);
            }
        }
        registry
    }

    fn add_row(&mut self, row: &StoredRow, own: &str) {
        let version = row.version;
        let row: NodeRow = match serde_json::from_slice(&unpack_if_packed(&row.value)) {
            Ok(row) => row,
            Err(error) => {
                Event::warn("node_row_unreadable")
                    .field("key", &row.key)
                    .field("error", error)
                    .log();
                return;
            }
        };
        if row.name == own {
            self.own_version = version;
            self.own_writer = Some(Process::of(&row.registration(self.now).node));
        }
        for follower in &row.followers {
            let registration = follower.registration(self.now);
            if row.name == own {
                self.own_followers.push(registration.clone());
            }
            self.insert(registration, None);
        }
        self.insert(row.registration(self.now), row.reads_since);
    }

    /// Adds the entry of a node unless a later renewal of its name is known.
    fn insert(&mut self, registration: Registration, reads_since: Option<u64>) {
        self.insert_process(&registration);
        let known = self.members.get(&registration.node.name);
        if known.is_some_and(|known| known.registration.age <= registration.age) {
            return;
        }
        let name = registration.node.name.clone();
        let member = Member {
            registration,
            reads_since,
        };
        self.members.insert(name, member);
    }

    fn insert_process(&mut self, registration: &Registration) {
        let process = Process::of(&registration.node);
        let known = self.processes.get(&process);
        if known.is_none_or(|known| registration.age < known.age) {
            self.processes.insert(process, registration.clone());
        }
    }

    /// Whether a process is listed and counts as present.
    pub fn lists_as_present(&self, process: &Process) -> bool {
        let listed = self.processes.get(process);
        listed.is_some_and(Registration::is_present)
    }

    /// The other processes that have the name of a process.
    pub fn other_processes_of_name(
        &self,
        process: &Process,
    ) -> impl Iterator<Item = &Registration> {
        let is_other = |it: &Process| it.name == process.name && it.address != process.address;
        let processes = self.processes.iter();
        processes
            .filter(move |(it, _)| is_other(it))
            .map(|(_, registration)| registration)
    }

    /// Processes whose name has a later renewal by another process.
    pub fn replaced_processes(&self) -> impl Iterator<Item = &Registration> {
        let is_replaced = |process: &Process| {
            let member = self.members.get(&process.name);
            member.is_some_and(|it| it.registration.node.address != process.address)
        };
        let processes = self.processes.iter();
        processes
            .filter(move |(process, _)| is_replaced(process))
            .map(|(_, registration)| registration)
    }

    /// Whether the era row must be written because it does not name the store's era.
    pub fn is_era_row_outdated(&self) -> bool {
        let recorded = self.era_row.map(|row| Era(row.era));
        self.era != Era::default() && recorded != Some(self.era)
    }

    /// Whether nodes may run that are not listed: the store was recently restored from an
    /// older copy, which lacks nodes that had registered just before.
    pub fn may_lack_nodes(&self) -> bool {
        let expiry = milliseconds(ROW_EXPIRY);
        let is_new = |row: EraRow| row.since > 0 && self.now < row.since + expiry;
        self.is_era_row_outdated() || self.era_row.is_some_and(is_new)
    }

    /// Nodes that count as present.
    pub fn present_members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.is_present())
    }

    /// Whether the fleet has had a reader for so long that all nodes that started
    /// together are listed. The reader may have stopped reading since: all nodes may have
    /// been stopped at once.
    pub fn is_settled(&self) -> bool {
        let since = self.present_members().filter_map(|it| it.reads_since);
        let settling = milliseconds(SETTLING_TIME);
        since.min().is_some_and(|since| since + settling < self.now)
    }
}
