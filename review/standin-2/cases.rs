//! The cases.

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::callers::{Told, start_reader, start_writer};
use crate::group::Group;
use crate::json::{from_base64, parse};
use crate::nodes::{Node, NodePlace};
use crate::record::Record;
use crate::store::{Store, listen};

const ZONES: [&str; 3] = ["muscat-a", "sohar-a", "salalah-a"];

/// Time in which the fleet starts and callers are served without a disruption.
const CALM: Duration = Duration::from_secs(20);

/// The rule that a case is about.
#[derive(Clone, Copy)]
enum Rule {
    Lost,
    One,
}

struct World {
    group: Arc<Group>,
    nodes: Vec<Node>,
    record: Record,
    told: Arc<Told>,
    stop: Arc<AtomicBool>,
    start: Instant,
    folder: String,
    store: Arc<Store>,
    network: String,
    settings: String,
    /// For each node, whether the store turns it away.
    refused: Vec<Arc<AtomicBool>>,
}

impl World {
    /// A small deployment: a store, a failover call, a group of three instances with so many
    /// synchronous replicas, `count` nodes, a caller at each.
    fn start(folder: &str, count: usize, synchronous: usize) -> std::io::Result<Self> {
        let record = Record::create(&format!("{folder}/record.txt"))?;
        let network = free_network(count + 4)?;
        let temporary = format!(
            "{}/linkhold-review-{}",
            std::env::temp_dir().display(),
            std::process::id()
        );
        std::fs::create_dir_all(&temporary)?;
        let store = Store::new();
        let configuration = CONFIGURATION.replace("SYNC", &synchronous.to_string());
        store.put("op", "config", &configuration);
        let zones = ZONES.iter().enumerate();
        let places: Vec<(String, String)> = zones
            .map(|(index, zone)| (format!("{network}.{}", 100 + index), (*zone).to_owned()))
            .collect();
        let group = Group::start(
            "catalog",
            &places,
            synchronous,
            true,
            store.clone(),
            record.clone(),
        )?;
        let (listener, provider_address) = listen(&format!("{network}.2"))?;
        group.serve_failover(listener);
        std::thread::sleep(Duration::from_millis(300));
        let settings = format!(
            "{SETTINGS}provider.address={provider_address}
"
        );
        let mut world = Self {
            group,
            nodes: Vec::new(),
            record,
            told: Arc::new(Told::default()),
            stop: Arc::new(AtomicBool::new(false)),
            start: Instant::now(),
            folder: temporary,
            store,
            network,
            settings,
            refused: Vec::new(),
        };
        for _ in 0..count {
            world.add_node(true)?;
        }
        std::thread::sleep(Duration::from_secs(2));
        for index in 0..count {
            world.add_caller(index);
        }
        world.start = Instant::now();
        Ok(world)
    }

    /// Starts one more node, which has an address of the store of its own.
    fn add_node(&mut self, is_first: bool) -> std::io::Result<()> {
        let index = self.nodes.len();
        let (listener, store_address) = listen(&format!("{}.1", self.network))?;
        let refused = Arc::new(AtomicBool::new(false));
        self.store.serve(listener, refused.clone());
        self.refused.push(refused);
        let place = NodePlace {
            name: format!("edge-{}", index + 1),
            ip: format!("{}.{}", self.network, 10 + index),
            zone: ZONES[index % ZONES.len()].to_owned(),
        };
        let settings = format!(
            "{}platform.address={store_address}
",
            self.settings
        );
        let record = self.record.clone();
        let node = Node::start(place, &settings, &self.folder, is_first, record)?;
        self.nodes.push(node);
        Ok(())
    }

    /// Starts a caller at a node.
    fn add_caller(&self, index: usize) {
        start_writer(
            index,
            self.nodes[index].frontend,
            "episodes",
            Duration::from_millis(20),
            self.group.clone(),
            self.record.clone(),
            self.told.clone(),
            self.stop.clone(),
        );
    }

    /// The node that wrote last under a condition for the service's failover.
    fn lease_holder(&self) -> Option<usize> {
        let row = self.store.read("linkhold-leases", "catalog")?;
        let row = parse(&from_base64(&row))?;
        let holder = row.get("holder").text();
        self.nodes.iter().position(|node| node.place.name == holder)
    }

    /// Milliseconds of the case.
    fn ms(&self) -> u64 {
        (self.start + CALM).elapsed().as_millis() as u64
    }

    /// Waits until a moment of the case.
    fn until(&self, ms: u64) {
        let at = self.start + CALM + Duration::from_millis(ms);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
    }

    /// Ends the case; returns its exit status.
    fn end(mut self, was_served: bool, rule: Rule) -> i32 {
        self.stop.store(true, Ordering::Relaxed);
        self.record.line(self.group.describe());
        let (lost, outdated, promotions) = {
            let inner = self.group.lock();
            let outdated = inner.outdated_told.len();
            (inner.lost.clone(), outdated, inner.promotions)
        };
        for node in &mut self.nodes {
            node.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
        let told = &self.told;
        let count = |it: &std::sync::atomic::AtomicUsize| it.load(Ordering::Relaxed);
        let summary = format!(
            "sent={} acknowledged={} refused={} unknown={} promotions={promotions} undone={} outdated={outdated} stale={}",
            count(&told.sent),
            count(&told.acknowledged),
            count(&told.refused),
            count(&told.unknown),
            lost.len(),
            count(&told.stale)
        );
        self.record.line(&summary);
        println!("{summary}");
        let holds = match rule {
            Rule::Lost => lost.is_empty(),
            Rule::One => outdated == 0,
        };
        match (was_served, holds) {
            (false, _) => 2,
            (true, true) => 0,
            (true, false) => 1,
        }
    }

    /// Whether callers were served until now.
    fn was_served(&self) -> bool {
        self.told.acknowledged.load(Ordering::Relaxed) > 100
    }
}

/// The first three numbers of a loopback network on which the ports of the nodes are free.
fn free_network(count: usize) -> std::io::Result<String> {
    let first = std::process::id();
    for attempt in 0..200 {
        let number = (first + attempt * 37) % 60_000;
        let network = format!("127.{}.{}", 10 + number / 250 % 200, 1 + number % 250);
        let is_free = (0..count).all(|index| {
            let ip = format!("{network}.{}", 10 + index);
            [8784_u16, 8785, 9464, 7440]
                .iter()
                .all(|port| TcpListener::bind((ip.as_str(), *port)).is_ok())
        });
        if is_free {
            return Ok(network);
        }
    }
    Err(std::io::ErrorKind::AddrInUse.into())
}

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"episodes","path_prefix":"/","route_type":"primary","timeout_ms":800,"target_latency_ms":600,"priority":1,"backend":"catalog","retry_attempts":2}],"backends":[{"name":"catalog","health_path":"/healthz","max_conns":36,"protocol":"h1","tls":false,"sync_replicas":SYNC}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000,"txn_idle_ms":3000}}"#;

const SETTINGS: &str = "zones.muscat-a=muscat-a-region
zones.sohar-a=sohar-a-region
zones.salalah-a=salalah-a-region
loss_counts=false
limits.cpu_weight=0.25
limits.cpus=1
limits.memory_mb=260
limits.max_fds=4300
limits.bandwidth_mbps=1000.0
limits.disk_mb=0
discovery=platform
entrypoint=vip
heartbeat_ms=1200
guarantees=base,drain,config,cost,recover,sql,platform
fault_tolerance.nodes=2
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.contact_ms=5000
bounds.ack_timeout_ms=6000
bounds.catchup_s=4
bounds.drain_ms=7000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=4000
bounds.revert_slack_ms=250
bounds.max_skew_ms=15000
bounds.recovery_s=12
bounds.enforce_fencing=true
bounds.freeze_slack_ms=300
platform.form=table
platform.writes_per_s=600
platform.reads_per_s=2000
platform.tx_ms=5.0
platform.part_writes_per_s=200
platform.row_bytes=65536
platform.across=false
platform.history_s=20
platform.blob_bytes=8388608
platform.blob_ms=25.0
platform.blob_mb_per_s=80.0
provider.rate_per_s=50.0
provider.duties=failover
provider.duty_per_s=50.0
";

/// Plays a case.
pub fn play(case: &str, folder: &str, trouble: bool) -> i32 {
    let played = match case {
        "reborn-replica" => reborn_replica(folder, trouble),
        "forgotten-instances" => forgotten_instances(folder, trouble),
        "unknown-nodes" => unknown_nodes(folder, trouble),
        _ => {
            eprintln!("no such case: {case}");
            return 2;
        }
    };
    played.unwrap_or_else(|error| {
        eprintln!("the case could not run: {error}");
        2
    })
}

/// A replica receives nothing for 6 s, and the primary crashes meanwhile, for 7 s. The other
/// replica, which has all commits, ends with the primary and starts again under its id 0.8 s
/// later: it then holds nothing.
fn reborn_replica(folder: &str, trouble: bool) -> std::io::Result<i32> {
    let world = World::start(folder, 3, 1)?;
    world.until(0);
    let was_served = world.was_served();
    if trouble {
        world.group.set_deaf(2, true);
        world.until(1_500);
        world.group.crash(0);
        world.group.crash(1);
        world.until(2_300);
        world.group.restart(1, true);
        world.until(6_000);
        world.group.set_deaf(2, false);
        world.until(8_500);
        world.group.restart(0, false);
    }
    world.until(18_000);
    Ok(world.end(was_served, Rule::Lost))
}

/// The same loss of power ends the primary, one replica and all nodes. The nodes are back once the
/// entries of the two instances have lapsed, 3.9 s later at the latest; the log of the replica is
/// back after 7 s; the primary is lost for good. The other replica receives nothing for 6 s, from
/// 1.5 s before the loss or a little more.
fn forgotten_instances(folder: &str, trouble: bool) -> std::io::Result<i32> {
    let mut world = World::start(folder, 3, 1)?;
    world.until(0);
    let was_served = world.was_served();
    if trouble {
        let group = world.group.clone();
        group.set_deaf(2, true);
        world.until(1_500);
        // The later after their entries were written, the sooner these lapse.
        let is_late = |index| group.entry_age(index) > Duration::from_millis(900);
        while !(is_late(0) && is_late(1)) && world.ms() < 3_500 {
            std::thread::sleep(Duration::from_millis(5));
        }
        group.crash(0);
        group.crash(1);
        for node in &mut world.nodes {
            node.kill();
        }
        let lost_at = world.ms();
        let is_listed = |index| world.store.read("servers", &group.name(index)).is_some();
        while (is_listed(0) || is_listed(1)) && world.ms() < lost_at + 3_900 {
            std::thread::sleep(Duration::from_millis(5));
        }
        for node in &mut world.nodes {
            node.run()?;
        }
        world.until(6_000);
        group.set_deaf(2, false);
        world.until(lost_at + 7_000);
        group.restart(1, false);
    }
    world.until(20_000);
    Ok(world.end(was_served, Rule::Lost))
}

/// The store turns one node away for 6 s: the one that holds the service's lease. Three nodes are
/// added meanwhile. Once these serve, the store turns one of them away as well, for 6 s, and the
/// primary is partitioned from the other instances and from the three first nodes, for 6.5 s.
fn unknown_nodes(folder: &str, trouble: bool) -> std::io::Result<i32> {
    let mut world = World::start(folder, 3, 0)?;
    start_reader(
        world.nodes[0].frontend,
        "episodes",
        world.group.clone(),
        world.record.clone(),
        world.told.clone(),
        world.stop.clone(),
    );
    world.until(0);
    let was_served = world.was_served();
    let Some(holder) = world.lease_holder() else {
        return Ok(2);
    };
    world
        .record
        .line(format!("edge-{} holds the lease", holder + 1));
    let turn_away = |world: &World, index: usize, refuses: bool| {
        if trouble {
            world.refused[index].store(refuses, Ordering::Relaxed);
            let name = &world.nodes[index].place.name;
            world
                .record
                .line(format!("the store turns {name} away: {refuses}"));
        }
    };
    turn_away(&world, holder, true);
    world.until(500);
    for index in 3..6 {
        world.add_node(false)?;
        world.add_caller(index);
    }
    world.until(3_000);
    turn_away(&world, 3, true);
    world.until(3_200);
    if trouble {
        let nodes: Vec<String> = (1..=3).map(|number| format!("edge-{number}")).collect();
        world.group.cut(0, &nodes);
    }
    world.until(6_000);
    turn_away(&world, holder, false);
    world.until(9_000);
    turn_away(&world, 3, false);
    world.until(9_700);
    if trouble {
        world.group.heal(0);
    }
    world.until(16_000);
    Ok(world.end(was_served, Rule::One))
}
