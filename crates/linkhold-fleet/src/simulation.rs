//! The event loop of a hollow fleet.

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
use crate::node::{HollowNode, Outgoing, address_of, node_id, own_record};
use crate::report::FleetReport;

/// Nodes that read the store.
pub const TABLE_READERS: usize = 3;
/// How often a reader reads it.
const READ_PERIOD: Duration = Duration::from_millis(500);
const SEED_NODES: usize = 3;
const INSTANCES: usize = 3;
const TABLE_DUTY: &str = "table";

/// What to simulate.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Nodes.
    pub nodes: usize,
    /// Databases of the table.
    pub databases: usize,
    /// Simulated time.
    pub duration: Duration,
    /// Seed.
    pub seed: u64,
    /// Network.
    pub network: NetworkOptions,
    /// Membership times.
    pub membership: MembershipSettings,
    /// Whether nodes start with a full view, as in a fleet that has been
    /// running.
    pub start_converged: bool,
    /// Edits of the table, spread over the run.
    pub edits: usize,
    /// Nodes that die, spread over the run, and stay away.
    pub deaths: usize,
    /// A mechanism that is switched off, to show that its loss is noticed.
    pub mutation: Option<Mutation>,
}

/// A mechanism that a test may switch off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutation {
    /// Refutations are lost: what was said of a node first stays.
    LoseRefutations,
    /// A node follows an announcement to a lower version.
    FollowLowerVersions,
}

/// Something that happens at a simulated time.
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
    pub nodes: Vec<HollowNode>,
    /// Simulated time.
    pub now: Duration,
    /// Accepted edits: version and time.
    pub edits: Vec<(u64, Duration)>,
    /// Deaths: node and time.
    pub deaths: Vec<(usize, Duration)>,
    /// For each version, how long after its edit each node had it.
    pub in_force: Vec<(u64, Duration)>,
    /// Times a node's version went down.
    pub version_regressions: usize,
    /// Pairs of nodes that cannot reach each other, by group; equal numbers
    /// reach each other.
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
    /// Starts all nodes.
    pub fn new(options: FleetOptions) -> Self {
        let seeds: Vec<SocketAddr> = (0..SEED_NODES.min(options.nodes)).map(address_of).collect();
        let nodes: Vec<HollowNode> = (0..options.nodes)
            .map(|index| {
                let place = options.network.place_of(index);
                HollowNode::new(
                    index,
                    place,
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
            stored: (1, first_table(options.databases)),
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
            // Nodes do not start in step.
            let offset = period.mul_f64(self.random.random_range(0.0..1.0));
            self.schedule(offset, Event::Tick(index));
            self.schedule(offset, Event::ReadStore(index));
        }
        let spread = |count: usize, number: usize| {
            options
                .duration
                .mul_f64(0.1 + 0.6 * number as f64 / count.max(1) as f64)
        };
        for number in 0..options.edits {
            self.schedule(spread(options.edits, number), Event::Edit);
        }
        for number in 0..options.deaths {
            self.schedule(spread(options.deaths, number), Event::Die);
        }
    }

    fn converge(&mut self, index: usize) {
        let network = self.options.network;
        let all =
            (0..self.options.nodes).map(|other| own_record(other, network.place_of(other), 1));
        let (version, sheet) = self.stored.clone();
        let node = &mut self.nodes[index];
        node.membership.preload_members(all, Duration::ZERO);
        node.read_store(version, sheet);
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

    /// Runs up to a simulated time.
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
            Event::Datagram { to, bytes } => self.datagram(to, bytes),
            Event::Table { from, to, bytes } => {
                if self.nodes[to].is_up {
                    let outgoing = self.nodes[to].receive_table(from, &bytes);
                    self.after(to, outgoing);
                }
            }
            Event::ReadStore(index) => self.read_store(index),
            Event::Edit => self.edit(),
            Event::Die => self.die(),
        }
    }

    fn tick(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        // An earlier tick was scheduled in place of this one.
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
        self.after(index, outgoing);
    }

    fn datagram(&mut self, to: usize, bytes: Vec<u8>) {
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
        self.after(to, outgoing);
    }

    /// Sends what a node wants sent, notes its table and plans its next tick.
    fn after(&mut self, index: usize, outgoing: Vec<Outgoing>) {
        for message in outgoing {
            self.send(index, message);
        }
        self.note_version(index);
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
        let places = (self.nodes[from].place, self.nodes[to].place);
        let latency = network.latency(places.0, places.1, &mut self.random);
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
            // Two more ways for the handshake.
            Outgoing::Table { bytes, .. } => {
                self.schedule(at + 2 * latency, Event::Table { from, to, bytes });
            }
        }
    }

    fn note_version(&mut self, index: usize) {
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

    /// A node reads the store if the duty is its own, or if it has no table.
    fn read_store(&mut self, index: usize) {
        let next = self.now + READ_PERIOD;
        if self.nodes[index].is_up {
            let node = &self.nodes[index];
            let readers = owners(TABLE_DUTY, node.membership.duty_nodes(), TABLE_READERS);
            let reads = readers.contains(&node_id(index)) || node.spread.version() == 0;
            if reads && self.store_is_up && self.now >= node.paused_until {
                let (version, sheet) = self.stored.clone();
                self.nodes[index].read_store(version, sheet);
                self.after(index, Vec::new());
            }
        }
        self.schedule(next, Event::ReadStore(index));
    }

    /// An operator's edit is accepted by the store.
    pub fn edit(&mut self) {
        let row = self.random.random_range(0..self.stored.1.rows.len());
        let weight = self.random.random_range(0..1_000_u32).to_string();
        let column = linkhold_core::table::Column::Weight.index();
        self.stored.1.rows[row].cells[column] = weight;
        self.stored.0 += 1;
        self.edits.push((self.stored.0, self.now));
    }

    /// A node dies that is no seed.
    fn die(&mut self) {
        let live: Vec<usize> = (SEED_NODES..self.nodes.len())
            .filter(|index| self.nodes[*index].is_up)
            .collect();
        if live.is_empty() {
            return;
        }
        let index = live[self.random.random_range(0..live.len())];
        self.stop(index);
    }

    /// Ends a node at once.
    pub fn stop(&mut self, index: usize) {
        self.nodes[index].is_up = false;
        self.deaths.push((index, self.now));
    }

    /// Starts a node again with nothing but its settings.
    pub fn restart(&mut self, index: usize) {
        let now = self.now;
        self.nodes[index].restart(now);
        self.nodes[index].scheduled_tick = Duration::MAX;
        self.seen_versions[index] = 0;
        self.schedule(now, Event::Tick(index));
    }

    /// Pauses a node: it does nothing, and what arrives waits.
    pub fn pause(&mut self, index: usize, time: Duration) {
        self.nodes[index].paused_until = self.now + time;
    }

    /// Whether every node that is up believes every other one alive.
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

    /// Sums the run up.
    pub fn report(&self) -> FleetReport {
        FleetReport::new(self)
    }
}

/// A table of the wanted number of databases.
pub fn first_table(databases: usize) -> Sheet {
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
