//! System under test: platform, database groups, relays and nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use linkhold_core::request_key;
use linkhold_core::table::{Sheet, SheetRow};
use linkhold_standin::group::{Group, GroupOptions, LagProfile};
use linkhold_standin::platform::Platform;
use linkhold_standin::relay::{Relay, RelayState};
use tokio::time::Instant;

use super::DemoOptions;
use super::checker::{DatabaseTruth, ExecutedStatement};
use super::profile::Sizes;
use crate::node::Node;
use crate::platform::{PlatformClient, TableEdit};
use crate::settings::{Overrides, PeerSettings, Settings, parse};

/// Number of rows of the `numbers` table. Readers read the whole table, to detect
/// partial answers.
pub const NUMBER_ROWS: usize = 50;
/// Name of the table on the platform.
pub const TABLE_NAME: &str = "linkhold";
const PEER_KEY: &str = "demo-peer-key-0123456789";
const TOKEN_KEY: &str = "demo-token-key-0123456789";
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Lag of a replica that is far behind.
pub const FAR_BEHIND_LAG: LagProfile = LagProfile::Fixed(Duration::from_secs(30));
/// Statement timeout of the nodes; short, so that statements reach it during a run.
const STATEMENT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Addresses at which callers reach the nodes, by node; `None` while a node is down.
pub type NodeAddresses = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// A running system.
pub struct World {
    /// Sizes of the profile.
    pub sizes: Sizes,
    /// The platform.
    pub platform: Platform,
    /// Database groups.
    pub groups: Vec<Group>,
    /// Nodes; `None` while one is down.
    pub nodes: Vec<Option<Node>>,
    /// Relays from each node to each instance of each database.
    pub relays: Vec<Vec<Vec<Relay>>>,
    /// Node addresses for callers.
    pub addresses: NodeAddresses,
    /// Start of the callers; set by the run.
    pub started: std::time::Instant,
    settings: Vec<Settings>,
}

impl World {
    /// Starts the whole system and waits until the table is in force on all nodes.
    pub async fn start(options: &DemoOptions) -> Result<Self> {
        let sizes = options.profile.sizes();
        let mut groups = Vec::new();
        for database in 0..sizes.databases {
            groups.push(start_group(&sizes, database, options.seed).await?);
        }
        let platform = Platform::start(0).await?;
        let mut relays = Vec::new();
        let mut settings = Vec::new();
        for node in 0..options.nodes {
            let relays_of_node = start_relays(&sizes, node, &groups).await?;
            settings.push(node_settings(
                options,
                &sizes,
                node,
                &platform,
                &groups,
                &relays_of_node,
            )?);
            relays.push(relays_of_node);
        }
        let mut world = Self {
            sizes,
            platform,
            groups,
            nodes: (0..options.nodes).map(|_| None).collect(),
            relays,
            addresses: Arc::new(Mutex::new(vec![None; options.nodes])),
            started: std::time::Instant::now(),
            settings,
        };
        world.store_initial_table().await?;
        for node in 0..options.nodes {
            world.start_node(node).await?;
        }
        Ok(world)
    }

    /// Returns the name of a database.
    pub fn database_name(&self, database: usize) -> &str {
        self.groups[database].name()
    }

    /// Returns a client of the platform's table.
    pub fn table_client(&self) -> PlatformClient {
        PlatformClient::new(&self.platform.url(), TABLE_NAME)
    }

    /// Starts or restarts a node.
    pub async fn start_node(&mut self, node: usize) -> Result<()> {
        let mut settings = self.settings[node].clone();
        settings.peer = Some(self.peer_settings());
        let running = Node::start(settings).await?;
        tokio::time::timeout(SETTLE_TIMEOUT, running.wait_for_table(1))
            .await
            .wrap_err("a node did not receive the table in time")?;
        self.set_address(node, Some(running.address()));
        self.nodes[node] = Some(running);
        Ok(())
    }

    /// Returns the peer settings of a node that starts now; all running nodes are
    /// seeds.
    fn peer_settings(&self) -> PeerSettings {
        let running = self.nodes.iter().flatten();
        PeerSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            seeds: running.filter_map(Node::peer_address).collect(),
            key: PEER_KEY.to_owned(),
        }
    }

    /// Crashes a node.
    pub fn crash_node(&mut self, node: usize) {
        self.set_address(node, None);
        self.nodes[node] = None;
    }

    /// Stops a node gracefully. The node itself notifies its callers.
    pub async fn stop_node(&mut self, node: usize) {
        if let Some(running) = self.nodes[node].take() {
            self.set_address(node, None);
            running.stop().await;
        }
    }

    fn set_address(&self, node: usize, address: Option<SocketAddr>) {
        self.addresses.lock().expect("no panic while held")[node] = address;
    }

    /// Waits until every group is stable and returns its contents and records.
    pub async fn settle(&self) -> Result<Vec<DatabaseTruth>> {
        let mut truth = Vec::new();
        for group in &self.groups {
            wait_until_stable(group).await?;
            let rows = group
                .query_primary("SELECT id FROM publications ORDER BY id")
                .await
                .map_err(|error| eyre!(error))?;
            truth.push(DatabaseTruth {
                ids: rows
                    .into_iter()
                    .filter_map(|mut row| row.remove(0))
                    .collect(),
                statements: group
                    .records()
                    .into_iter()
                    .map(|record| ExecutedStatement {
                        instance: record.instance,
                        connection: record.connection,
                        transaction: record.transaction,
                        text: record.text,
                        at: record.at,
                    })
                    .collect(),
                elections: group.elections(),
                most_connections: group
                    .reports()
                    .iter()
                    .map(|report| report.most_connections)
                    .max()
                    .unwrap_or(0),
                connection_limit: self.sizes.connections,
            });
        }
        Ok(truth)
    }

    async fn store_initial_table(&self) -> Result<()> {
        let edit = TableEdit {
            expected_version: 0,
            edit_id: "first".to_owned(),
            author: "demo".to_owned(),
            body: self.initial_table().to_csv(),
        };
        self.table_client().edit(&edit).await?;
        Ok(())
    }

    fn initial_table(&self) -> Sheet {
        let sizes = &self.sizes;
        let mut rows = Vec::new();
        for group in &self.groups {
            for (instance, address) in group.addresses().iter().enumerate() {
                let cells = [
                    sizes.group.to_owned(),
                    group.name().to_owned(),
                    format!("db{instance}"),
                    address.to_string(),
                    sizes.zones[instance % sizes.zones.len()].to_owned(),
                    "*".to_owned(),
                    "10".to_owned(),
                    sizes.slots.to_string(),
                    sizes.connections.to_string(),
                    sizes.read_wait.as_millis().to_string(),
                    sizes.write_wait.as_millis().to_string(),
                    "active".to_owned(),
                ];
                rows.push(SheetRow {
                    line: 0,
                    cells: cells.to_vec(),
                });
            }
        }
        Sheet { rows }
    }
}

async fn start_group(sizes: &Sizes, database: usize, seed: u64) -> Result<Group> {
    let schema = vec![
        "CREATE TABLE publications (id TEXT NOT NULL, caller INTEGER NOT NULL, sequence INTEGER NOT NULL)"
            .to_owned(),
        "CREATE INDEX publications_by_caller ON publications (caller, sequence)".to_owned(),
        "CREATE TABLE numbers (number INTEGER PRIMARY KEY)".to_owned(),
        format!(
            "INSERT INTO numbers WITH RECURSIVE c(x) AS \
             (SELECT 1 UNION ALL SELECT x + 1 FROM c WHERE x < {NUMBER_ROWS}) SELECT x FROM c"
        ),
        request_key::create_table(),
    ];
    let options = GroupOptions {
        name: format!("{}-{}", sizes.group, database + 1),
        instances: sizes.instances,
        slots: sizes.slots,
        connection_limit: sizes.connections,
        connect_time: sizes.connect_time,
        service_time: sizes.service_time,
        lag: sizes.lag,
        election_timeout: sizes.election_timeout,
        seed: seed.wrapping_mul(31).wrapping_add(database as u64),
        schema,
        record: true,
    };
    Ok(Group::start(options).await?)
}

async fn start_relays(sizes: &Sizes, node: usize, groups: &[Group]) -> Result<Vec<Vec<Relay>>> {
    let mut relays = Vec::new();
    for group in groups {
        let mut group_relays = Vec::new();
        for (instance, address) in group.addresses().iter().enumerate() {
            let same_zone = instance % sizes.zones.len() == node % sizes.zones.len();
            let state = RelayState {
                one_way_delay: if same_zone {
                    Duration::ZERO
                } else {
                    sizes.zone_latency
                },
                ..RelayState::default()
            };
            group_relays.push(Relay::start(*address, state).await?);
        }
        relays.push(group_relays);
    }
    Ok(relays)
}

fn node_settings(
    options: &DemoOptions,
    sizes: &Sizes,
    node: usize,
    platform: &Platform,
    groups: &[Group],
    relays: &[Vec<Relay>],
) -> Result<Settings> {
    let text = format!(
        "node = \"node-{node}\"\nzone = \"{}\"\nlisten = \"127.0.0.1:0\"\ntoken_key = \"{TOKEN_KEY}\"\n\
         [table]\nplatform_url = \"{}\"\npoll_ms = 200\n\
         [limits]\nfleet_size = {}\n",
        sizes.zones[node % sizes.zones.len()],
        platform.url(),
        options.nodes,
    );
    let mut settings = parse(&text, &Overrides::new())
        .map_err(|findings| eyre!("the demo's settings are invalid: {findings:?}"))?;
    settings.read_policy = options.policy;
    settings.probe_interval = options.probe_interval;
    settings.statement_timeout = STATEMENT_TIMEOUT;
    let mut address_map = HashMap::new();
    for (group, relays) in groups.iter().zip(relays) {
        for (address, relay) in group.addresses().iter().zip(relays) {
            address_map.insert(*address, relay.address());
        }
    }
    settings.address_map = address_map;
    Ok(settings)
}

/// Waits until the group has a primary and all instances agree on its term.
async fn wait_until_stable(group: &Group) -> Result<()> {
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    loop {
        let reports = group.reports();
        let highest = reports.iter().map(|report| report.current_term).max();
        let has_primary = reports.iter().any(|report| {
            report.is_primary && !report.crashed && Some(report.current_term) == highest
        });
        let terms_agree = reports
            .iter()
            .all(|report| Some(report.current_term) == highest);
        if has_primary && terms_agree {
            return Ok(());
        }
        if Instant::now() > deadline {
            bail!("group {} did not become stable: {reports:?}", group.name());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
