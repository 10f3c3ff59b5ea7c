//! A replicated database group.
//!
//! Each instance is a PostgreSQL-protocol server over its own in-memory
//! SQLite database. The primary runs transactions and appends their
//! statements to its log; replicas apply the log after a configured lag. When a
//! majority has not heard from a primary for the election timeout, it elects the
//! instance with the most up-to-date log, as in Raft (section 5.4.1).
//!
//! The primary acknowledges a commit as soon as the commit is in its own log, so a
//! failover can lose a commit that no replica has. A proxy must not hide this
//! weakness. A primary that is isolated from its peers continues to accept
//! connections and commits.

mod engine;
mod replication;
mod server;
mod session;
mod state;
mod values;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinSet;

use state::GroupShared;
pub use state::{InstanceReport, LagProfile, StatementRecord};

/// Size, timing and schema of a group.
#[derive(Clone, Debug)]
pub struct GroupOptions {
    /// Database name.
    pub name: String,
    /// Number of instances.
    pub instances: usize,
    /// Maximum number of concurrent statements on an instance.
    pub slots: usize,
    /// Maximum number of connections to an instance.
    pub connection_limit: usize,
    /// Time to accept a new connection.
    pub connect_time: Duration,
    /// Time that each statement occupies its slot before it runs.
    pub service_time: Duration,
    /// Lag of each replica.
    pub lag: LagProfile,
    /// Time without a primary after which the instances elect a new one.
    pub election_timeout: Duration,
    /// Seed of lag and election jitter.
    pub seed: u64,
    /// Statements that every instance runs before it serves.
    pub schema: Vec<String>,
    /// Whether to record every statement, for a checker.
    pub record: bool,
}

impl GroupOptions {
    /// Returns options of a small, fast group with these schema statements.
    pub fn small(name: &str, schema: Vec<String>) -> Self {
        Self {
            name: name.to_owned(),
            instances: 3,
            slots: 10,
            connection_limit: 100,
            connect_time: Duration::ZERO,
            service_time: Duration::ZERO,
            lag: LagProfile::Fixed(Duration::from_millis(5)),
            election_timeout: Duration::from_millis(300),
            seed: 1,
            schema,
            record: false,
        }
    }
}

/// A running group. Dropping it stops the servers.
pub struct Group {
    shared: Arc<GroupShared>,
    addresses: Vec<SocketAddr>,
    _tasks: JoinSet<()>,
}

impl Group {
    /// Starts a group; each instance listens on a free loopback port.
    pub async fn start(options: GroupOptions) -> std::io::Result<Self> {
        let ports = vec![0; options.instances];
        Self::start_on(options, &ports).await
    }

    /// Starts a group on given loopback ports; 0 means a free one.
    pub async fn start_on(options: GroupOptions, ports: &[u16]) -> std::io::Result<Self> {
        let shared = Arc::new(GroupShared::new(options));
        let mut tasks = JoinSet::new();
        let mut addresses = Vec::new();
        for (instance, port) in ports.iter().enumerate() {
            let listener = TcpListener::bind(("127.0.0.1", *port)).await?;
            addresses.push(listener.local_addr()?);
            tasks.spawn(server::serve(shared.clone(), instance, listener));
            tasks.spawn(replication::replicate(shared.clone(), instance));
        }
        tasks.spawn(replication::run_elections(shared.clone()));
        Ok(Self {
            shared,
            addresses,
            _tasks: tasks,
        })
    }

    /// Returns the addresses of the instances, in order.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns the database name.
    pub fn name(&self) -> &str {
        &self.shared.options.name
    }

    /// Crashes an instance: its connections break and new ones are closed.
    pub fn crash(&self, instance: usize) {
        self.shared.set_crashed(instance, true);
    }

    /// Restarts a crashed instance with its log intact.
    pub fn restart(&self, instance: usize) {
        self.shared.set_crashed(instance, false);
    }

    /// Isolates an instance from its peers; callers still reach it.
    pub fn isolate(&self, instance: usize) {
        self.shared.set_isolated(instance, true);
    }

    /// Ends the isolation of an instance.
    pub fn heal(&self, instance: usize) {
        self.shared.set_isolated(instance, false);
    }

    /// Sets the replication lag of an instance.
    pub fn set_lag(&self, instance: usize, lag: LagProfile) {
        self.shared.set_lag(instance, lag);
    }

    /// Delays every answer of an instance.
    pub fn set_answer_delay(&self, instance: usize, delay: Duration) {
        self.shared.set_answer_delay(instance, delay);
    }

    /// Returns the running primary with the highest term; `None` if there is none.
    pub fn primary(&self) -> Option<usize> {
        self.shared.primary()
    }

    /// Returns the status of each instance, for checks in tests.
    pub fn reports(&self) -> Vec<InstanceReport> {
        self.shared.reports()
    }

    /// Returns the elections so far: time, term and elected instance.
    pub fn elections(&self) -> Vec<(std::time::Instant, u64, usize)> {
        self.shared.elections()
    }

    /// Returns every recorded statement, in order.
    pub fn records(&self) -> Vec<StatementRecord> {
        self.shared.records()
    }

    /// Runs a query directly on the current primary's data and returns its rows as
    /// text. Fails without a primary.
    pub async fn query_primary(&self, query: &str) -> Result<Vec<Vec<Option<String>>>, String> {
        let primary = self.primary().ok_or("no primary")?;
        let engine = self.shared.engine(primary);
        let engine = engine.lock().await;
        engine.rows_as_text(query)
    }
}
