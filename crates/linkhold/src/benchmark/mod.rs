//! Benchmarks of a node, compared with the same load without a node in the same run.
//!
//! Callers, node and stand-ins run on separate runtimes of one process, so that the
//! processor time of the node's threads can be measured separately.

mod connections;
mod control;
mod failover;
mod process;
mod reads;
mod statements;
mod writes;

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, bail, eyre};
use linkhold_core::request_key;
use linkhold_standin::group::{Group, GroupOptions, LagProfile};
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;
use tokio_postgres::{Client, Error, NoTls};

use crate::node::Node;
use crate::settings::{Overrides, Settings, parse};

/// Prefix of the thread names of the node's runtime.
const NODE_THREADS: &str = "node-worker";
const NODE_WORKERS: usize = 2;
const STANDIN_WORKERS: usize = 2;
const CALLER_WORKERS: usize = 2;
/// Header line of the benchmarks' tables.
const TABLE_HEADER: &str = "group,database,instance,address,zone,hours,weight,slots,connection_limit,read_wait_ms,write_wait_ms,state\n";
/// Name of the stand-in's database.
pub const DATABASE: &str = "bench";
const TABLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Options of a benchmark run.
#[derive(Clone, Debug)]
pub struct BenchmarkOptions {
    /// Duration of each measurement.
    pub duration: Duration,
    /// Number of idle connections to open.
    pub idle_connections: usize,
    /// Names of the measurements to run, out of [`PARTS`].
    pub parts: Vec<String>,
}

/// A group, a node and callers, each on a separate runtime.
pub struct Bench {
    callers: Runtime,
    node_runtime: Runtime,
    standin_runtime: Runtime,
    /// Database group.
    pub group: Group,
    /// Node; `None` while it is stopped.
    pub node: Option<Node>,
    settings: Settings,
    _table: table_file::TableFile,
}

impl Bench {
    /// Starts a group and a node in front of it. `adjust` changes the node's settings.
    pub fn start(group_options: GroupOptions, adjust: impl Fn(&mut Settings)) -> Result<Self> {
        let callers = runtime("caller", CALLER_WORKERS)?;
        let node_runtime = runtime(NODE_THREADS, NODE_WORKERS)?;
        let standin_runtime = runtime("standin", STANDIN_WORKERS)?;
        let group = standin_runtime.block_on(Group::start(group_options))?;
        let table = table_file::TableFile::write(&table_of(&group))?;
        let mut settings = settings_with(&table)?;
        adjust(&mut settings);
        let mut bench = Self {
            callers,
            node_runtime,
            standin_runtime,
            group,
            node: None,
            settings: settings.clone(),
            _table: table,
        };
        bench.restart_node(settings)?;
        Ok(bench)
    }

    /// Stops the node, if one runs, and starts a node with these settings.
    fn restart_node(&mut self, settings: Settings) -> Result<()> {
        self.stop_node();
        let node = self.node_runtime.block_on(async {
            let node = Node::start(settings).await?;
            tokio::time::timeout(TABLE_TIMEOUT, node.wait_for_table(1)).await?;
            Ok::<Node, eyre::Report>(node)
        })?;
        self.node = Some(node);
        Ok(())
    }

    fn stop_node(&mut self) {
        let _context = self.node_runtime.enter();
        self.node = None;
    }

    /// Returns the address of the node.
    pub fn node_address(&self) -> SocketAddr {
        self.node
            .as_ref()
            .expect("the node runs until the benchmark ends")
            .address()
    }

    /// Returns the address of the primary, for load without a node.
    pub fn primary_address(&self) -> SocketAddr {
        self.group.addresses()[0]
    }

    /// Runs a future on the callers' runtime.
    pub fn block_on<T>(&self, callers: impl Future<Output = T>) -> T {
        self.callers.block_on(callers)
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        self.stop_node();
    }
}

fn runtime(name: &str, workers: usize) -> Result<Runtime> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(workers)
        .thread_name(name)
        .enable_all()
        .build()?;
    Ok(runtime)
}

/// Returns options of a group without lag or waits, so that only the node's own cost is
/// measured.
pub fn fast_group() -> GroupOptions {
    let schema = vec![
        "CREATE TABLE items (id INTEGER PRIMARY KEY, value TEXT NOT NULL)".to_owned(),
        "INSERT INTO items VALUES (1, 'one')".to_owned(),
        request_key::create_table(),
    ];
    GroupOptions {
        slots: 1_000,
        connection_limit: 1_000,
        lag: LagProfile::Fixed(Duration::ZERO),
        election_timeout: Duration::from_secs(10),
        ..GroupOptions::small(DATABASE, schema)
    }
}

fn table_of(group: &Group) -> String {
    let mut csv = TABLE_HEADER.to_owned();
    for (index, address) in group.addresses().iter().enumerate() {
        csv.push_str(&format!(
            "bench,{DATABASE},db{index},{address},zone-{index},*,10,500,600,5000,10000,active\n"
        ));
    }
    csv
}

fn settings_with(table: &table_file::TableFile) -> Result<Settings> {
    let text = format!(
        "node = \"bench\"\nzone = \"zone-0\"\nlisten = \"127.0.0.1:0\"\n\
         token_key = \"bench-token-key-0123\"\n[table]\nfile = \"{}\"\n",
        table.path().display()
    );
    parse(&text, &Overrides::new())
        .map_err(|findings| eyre!("the benchmark's settings are invalid: {findings:?}"))
}

/// Connects a caller; the handle is that of the connection's task.
async fn connect(address: SocketAddr) -> Result<(Client, JoinHandle<Result<(), Error>>)> {
    let text = format!(
        "host={} port={} user=bench dbname={DATABASE}",
        address.ip(),
        address.port()
    );
    let (client, connection) = tokio_postgres::connect(&text, NoTls).await?;
    Ok((client, tokio::spawn(connection)))
}

/// Names of the measurements, in the order in which they run.
pub const PARTS: [&str; 6] = [
    "statements",
    "writes",
    "connections",
    "failover",
    "reads",
    "control",
];

/// Runs the named measurements and prints a line for each result. Fails on an unknown
/// name.
pub fn run(options: &BenchmarkOptions) -> Result<()> {
    for part in &options.parts {
        match part.as_str() {
            "statements" => statements::run(options)?,
            "writes" => writes::run(options)?,
            "connections" => connections::run(options)?,
            "failover" => failover::run(options)?,
            "reads" => reads::run(options)?,
            "control" => control::run(options)?,
            other => bail!("there is no measurement `{other}`"),
        }
    }
    Ok(())
}

/// A table file in the temporary directory.
mod table_file {
    use std::path::{Path, PathBuf};

    /// The file; dropping it removes the file.
    pub struct TableFile(PathBuf);

    impl TableFile {
        /// Writes a file with a unique name in the temporary directory.
        pub fn write(csv: &str) -> std::io::Result<Self> {
            let name = format!(
                "linkhold-bench-{}-{:x}.csv",
                std::process::id(),
                rand::random::<u64>()
            );
            let path = std::env::temp_dir().join(name);
            std::fs::write(&path, csv)?;
            Ok(Self(path))
        }

        /// Returns the path of the file.
        pub fn path(&self) -> &Path {
            &self.0
        }
    }

    impl Drop for TableFile {
        fn drop(&mut self) {
            let _ = std::fs::remove_file(&self.0);
        }
    }
}
