//! The event loop of the fleet simulation.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use linkhold_core::membership::{MemberState, MembershipSettings};
use linkhold_core::rendezvous::owners;
use linkhold_core::table::Sheet;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::network::NetworkOptions;
use crate::node::{Outgoing, SimulatedNode, address_of, node_id, own_record};
use crate::report::FleetReport;

/// Number of nodes that read the table from the store.
pub const TABLE_READERS: usize = 3;
/// How often a node reads the store.
const READ_PERIOD: Duration = Duration::from_millis(500);
const SEED_NODES: usize = 3;
const INSTANCES: usize = 3;
const TABLE_DUTY: &str = "table";

/// Options of a simulation.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of nodes.
    pub nodes: usize,
    /// Number of databases in the table.
    pub databases: usize,
    /// Simulated time.
    pub duration: Duration,
    /// Seed of all random draws.
    pub seed: u64,
    /// Network.
    pub network: NetworkOptions,
    /// Membership settings.
    pub membership: MembershipSettings,
    /// Whether nodes start with all members and the table, like a fleet that has been
    /// running.
    pub start_converged: bool,
    /// Number of table edits, spread over the run.
    pub edits: usize,
    /// Number of nodes that die and do not restart, spread over the run.
    pub deaths: usize,
    /// A mechanism to disable, to check that the properties fail without it.
    pub mutation: Option<Mutation>,
}

/// A mechanism that a test can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Refutations are lost: only records of a node's first incarnation arrive.
    LoseRefutations,
    /// A node drops its table when a peer announces a lower version.
    FollowLowerVersions,
}

/// An event at a simulated time.
enum Event {
    Tick(usize),
    Datagram {
        to: usize,
        bytes: Vec<u8>,
    },
    Table {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    ReadStore(usize),
    Edit,
    Die,
}

struct Scheduled {
    at: Duration,
    order: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A running simulation.
pub struct Simulation {
    /// Options.
    pub options: FleetOptions,
    /// Nodes by index.
    pub nodes: Vec<SimulatedNode>,
    /// Simulated time.
    pub now: Duration,
    /// Accepted edits: version and simulated time.
    pub edits: Vec<(u64, Duration)>,
    /// Deaths: node index and simulated time.
    pub deaths: Vec<(usize, Duration)>,
    /// For each version and node, the time from the edit until the node had it in
    /// force.
    pub in_force: Vec<(u64, Duration)>,
    /// Number of times a node's table version went down.
    pub version_regressions: usize,
    /// Partition number of each node; only nodes with equal numbers reach each other.
    pub partition: Vec<u32>,
    /// Whether the store answers.
    pub store_is_up: bool,
    stored: (u64, Sheet),
    seen_versions: Vec<u64>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    next_order: u64,
    random: ChaCha8Rng,
}

impl Simulation {
    /// Creates all nodes and schedules their start.
    pub fn new(options: FleetOptions) -> Self {
        let seeds: Vec<SocketAddr> = (0..SEED_NODES.min(options.nodes)).map(address_of).collect();
        let nodes: Vec<SimulatedNode> = (0..options.nodes)
            .map(|index| {
                let location = options.network.location_of(index);
                SimulatedNode::new(
                    index,
                    location,
                    options.membership,
                    seeds.clone(),
                    options.seed,
                    options.mutation,
                )
            })
            .collect();
        let mut simulation = Self {
            partition: vec![0; options.nodes],
            seen_versions: vec![0; options.nodes],
            random: ChaCha8Rng::seed_from_u64(options.seed),
            stored: (1, initial_table(options.databases)),
            nodes,
            now: Duration::ZERO,
            edits: Vec::new(),
            deaths: Vec::new(),
            in_force: Vec::new(),
            version_regressions: 0,
            store_is_up: true,
            queue: BinaryHeap::new(),
            next_order: 0,
            options,
        };
        simulation.schedule_start();
        simulation
    }

    fn schedule_start(&mut self) {
        let period = self.options.membership.probe_period;
        let options = self.options.clone();
        for index in 0..options.nodes {
            if options.start_converged {
                self.converge(index);
            }
            // Start times are random, so that nodes do not run in lockstep.
            let offset = period.mul_f64(self.random.random_range(0.0..1.0));
            self.schedule(offset, Event::Tick(index));
            self.schedule(offset, Event::ReadStore(index));
        }
        let time_of = |count: usize, number: usize| {
            options
                .duration
                .mul_f64(0.1 + 0.6 * number as f64 / count.max(1) as f64)
        };
        for number in 0..options.edits {
            self.schedule(time_of(options.edits, number), Event::Edit);
        }
        for number in 0..options.deaths {
            self.schedule(time_of(options.deaths, number), Event::Die);
        }
    }

    /// Gives a node all members and the table.
    fn converge(&mut self, index: usize) {
        let network = self.options.network;
        let all =
            (0..self.options.nodes).map(|other| own_record(other, network.location_of(other), 1));
        let (version, sheet) = self.stored.clone();
        let node = &mut self.nodes[index];
        node.membership.preload_members(all, Duration::ZERO);
        node.on_store_read(version, sheet);
        self.seen_versions[index] = version;
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.next_order += 1;
        self.queue.push(Reverse(Scheduled {
            at,
            order: self.next_order,
            event,
        }));
    }

    /// Runs to the end of the simulated time.
    pub fn run(&mut self) {
        self.run_until(self.options.duration);
    }

    /// Runs until a simulated time.
    pub fn run_until(&mut self, end: Duration) {
        while self
            .queue
            .peek()
            .is_some_and(|Reverse(next)| next.at <= end)
        {
            if let Some(Reverse(next)) = self.queue.pop() {
                self.now = next.at;
                self.handle(next.event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(index) => self.tick(index),
            Event::Datagram { to, bytes } => self.deliver_datagram(to, bytes),
            Event::Table { from, to, bytes } => {
                if self.nodes[to].is_up {
                    let outgoing = self.nodes[to].receive_table(from, &bytes);
                    self.process_output(to, outgoing);
                }
            }
            Event::ReadStore(index) => self.read_store(index),
            Event::Edit => self.edit(),
            Event::Die => self.kill_random_node(),
        }
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        // A stale tick, which an earlier one replaced.
        if !node.is_up || self.now < node.scheduled_tick && node.scheduled_tick != Duration::MAX {
            return;
        }
        if self.now < node.paused_until {
            let until = node.paused_until;
            node.scheduled_tick = until;
            self.schedule(until, Event::Tick(index));
            return;
        }
        let outgoing = node.tick(self.now);
        node.scheduled_tick = Duration::MAX;
        self.process_output(index, outgoing);
    }

    fn deliver_datagram(&mut self, to: usize, bytes: Vec<u8>) {
        let node = &mut self.nodes[to];
        if !node.is_up {
            return;
        }
        if self.now < node.paused_until {
            let until = node.paused_until;
            self.schedule(until, Event::Datagram { to, bytes });
            return;
        }
        let outgoing = node.receive(&bytes, self.now);
        self.process_output(to, outgoing);
    }

    /// Sends a node's messages, records its table version and schedules its next tick.
    fn process_output(&mut self, index: usize, outgoing: Vec<Outgoing>) {
        for message in outgoing {
            self.send(index, message);
        }
        self.record_version(index);
        let next = self.nodes[index].membership.next_tick().max(self.now);
        if next < self.nodes[index].scheduled_tick {
            self.nodes[index].scheduled_tick = next;
            self.schedule(next, Event::Tick(index));
        }
    }

    fn send(&mut self, from: usize, outgoing: Outgoing) {
        let (to, is_datagram) = match &outgoing {
            Outgoing::Datagram { to, .. } => (*to, true),
            Outgoing::Table { to, .. } => (*to, false),
        };
        if to >= self.nodes.len() || self.partition[from] != self.partition[to] {
            return;
        }
        let network = self.options.network;
        let locations = (self.nodes[from].location, self.nodes[to].location);
        let latency = network.latency(locations.0, locations.1, &mut self.random);
        let at = self.now + latency;
        match outgoing {
            Outgoing::Datagram { bytes, .. } => {
                debug_assert!(is_datagram);
                if self.random.random_bool(network.loss) {
                    return;
                }
                if network.duplication > 0.0 && self.random.random_bool(network.duplication) {
                    let bytes = bytes.clone();
                    self.schedule(at + latency, Event::Datagram { to, bytes });
                }
                self.schedule(at, Event::Datagram { to, bytes });
            }
            // Two more one-way latencies for the TCP handshake.
            Outgoing::Table { bytes, .. } => {
                self.schedule(at + 2 * latency, Event::Table { from, to, bytes });
            }
        }
    }

    fn record_version(&mut self, index: usize) {
        let version = self.nodes[index].spread.version();
        let seen = self.seen_versions[index];
        if version < seen {
            self.version_regressions += 1;
        }
        if version > seen {
            for (edited, at) in &self.edits {
                if (seen + 1..=version).contains(edited) {
                    self.in_force.push((*edited, self.now - *at));
                }
            }
        }
        self.seen_versions[index] = version;
    }

    /// Reads the store if the node is one of the table's readers or has no table.
    fn read_store(&mut self, index: usize) {
        let next = self.now + READ_PERIOD;
        if self.nodes[index].is_up {
            let node = &self.nodes[index];
            let readers = owners(TABLE_DUTY, node.membership.duty_nodes(), TABLE_READERS);
            let reads = readers.contains(&node_id(index)) || node.spread.version() == 0;
            if reads && self.store_is_up && self.now >= node.paused_until {
                let (version, sheet) = self.stored.clone();
                self.nodes[index].on_store_read(version, sheet);
                self.process_output(index, Vec::new());
            }
        }
        self.schedule(next, Event::ReadStore(index));
    }

    /// Edits the table in the store: sets the weight of a random row.
    pub fn edit(&mut self) {
        let row = self.random.random_range(0..self.stored.1.rows.len());
        let weight = self.random.random_range(0..1_000_u32).to_string();
        let column = linkhold_core::table::Column::Weight.index();
        self.stored.1.rows[row].cells[column] = weight;
        self.stored.0 += 1;
        self.edits.push((self.stored.0, self.now));
    }

    /// Kills a random live node that is not a seed.
    fn kill_random_node(&mut self) {
        let live: Vec<usize> = (SEED_NODES..self.nodes.len())
            .filter(|index| self.nodes[*index].is_up)
            .collect();
        if live.is_empty() {
            return;
        }
        let index = live[self.random.random_range(0..live.len())];
        self.kill(index);
    }

    /// Kills a node.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].is_up = false;
        self.deaths.push((index, self.now));
    }

    /// Restarts a node with only its settings.
    pub fn restart(&mut self, index: usize) {
        let now = self.now;
        self.nodes[index].restart(now);
        self.nodes[index].scheduled_tick = Duration::MAX;
        self.seen_versions[index] = 0;
        self.schedule(now, Event::Tick(index));
    }

    /// Pauses a node: it does nothing, and arriving datagrams wait.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].paused_until = self.now + time;
    }

    /// Returns whether every running node considers every other running node alive.
    pub fn all_agree(&self) -> bool {
        self.nodes.iter().filter(|node| node.is_up).all(|node| {
            self.nodes
                .iter()
                .filter(|other| other.is_up && other.index != node.index)
                .all(|other| {
                    let member = node.membership.member(node_id(other.index));
                    member.is_some_and(|member| member.record.state == MemberState::Alive)
                })
        })
    }

    /// Summarizes the run.
    pub fn report(&self) -> FleetReport {
        FleetReport::new(self)
    }
}

/// Returns a table with this many databases.
pub fn initial_table(databases: usize) -> Sheet {
    let row = |database: usize, instance: usize| {
        [
            "service".to_owned(),
            format!("database-{database}"),
            format!("instance-{instance}"),
            format!(
                "127.{}.{}.{}:5432",
                database / 250,
                database % 250,
                instance + 1
            ),
            format!("zone-{instance}"),
            "*".to_owned(),
            "10".to_owned(),
            "5".to_owned(),
            "40".to_owned(),
            "500".to_owned(),
            "8000".to_owned(),
            "active".to_owned(),
        ]
        .to_vec()
    };
    let rows = (0..databases)
        .flat_map(|database| (0..INSTANCES).map(move |instance| row(database, instance)))
        .collect();
    Sheet::from_cells(rows)
}
