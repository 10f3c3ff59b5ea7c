//! A replicated database group.
//!
//! Each instance is a PostgreSQL-protocol server over its own in-memory
//! SQLite database. The primary runs transactions and appends their
//! statements to its log; replicas apply the log after a set lag. When a
//! majority has not heard from a primary for the election time-out it elects
//! the instance with the most up-to-date log, as in Raft (section 5.4.1).
//!
//! The primary answers a commit as soon as its own log has it, so a commit
//! that no replica has may be lost in a failover: that is the weakness a
//! proxy must not hide. A primary that is cut off from its peers goes on
//! accepting connections and commits.

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

/// Size and speed of a group.
#[derive(Clone, Debug)]
pub struct GroupOptions {
    /// Database name.
    pub name: String,
    /// Number of instances.
    pub instances: usize,
    /// Statements an instance runs at once.
    pub slots: usize,
    /// Connections an instance accepts.
    pub connection_limit: usize,
    /// Time to accept a new connection.
    pub connect_time: Duration,
    /// Time a statement occupies its slot.
    pub service_time: Duration,
    /// Lag of each replica.
    pub lag: LagProfile,
    /// Silence after which replicas elect a new primary.
    pub election_timeout: Duration,
    /// Seed for lag and election jitter.
    pub seed: u64,
    /// Statements run on every instance before it serves.
    pub schema: Vec<String>,
    /// Keep a record of every statement for a checker.
    pub record: bool,
}

impl GroupOptions {
    /// A small fast group with these schema statements.
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

/// A running group. Dropping it stops its servers.
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
            tasks.spawn(replication::follow(shared.clone(), instance));
        }
        tasks.spawn(replication::elect(shared.clone()));
        Ok(Self {
            shared,
            addresses,
            _tasks: tasks,
        })
    }

    /// Addresses of the instances, in order.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Database name.
    pub fn name(&self) -> &str {
        &self.shared.options.name
    }

    /// Stops an instance at once: its connections break and none is accepted.
    pub fn crash(&self, instance: usize) {
        self.shared.set_crashed(instance, true);
    }

    /// Brings a crashed instance back with the log it had.
    pub fn restart(&self, instance: usize) {
        self.shared.set_crashed(instance, false);
    }

    /// Cuts an instance off from its peers; callers still reach it.
    pub fn isolate(&self, instance: usize) {
        self.shared.set_isolated(instance, true);
    }

    /// Ends an isolation.
    pub fn heal(&self, instance: usize) {
        self.shared.set_isolated(instance, false);
    }

    /// Sets the lag of one replica.
    pub fn set_lag(&self, instance: usize, lag: LagProfile) {
        self.shared.set_lag(instance, lag);
    }

    /// Delays every answer of an instance.
    pub fn set_answer_delay(&self, instance: usize, delay: Duration) {
        self.shared.set_answer_delay(instance, delay);
    }

    /// The instance that is primary in the highest term, if it is up.
    pub fn primary(&self) -> Option<usize> {
        self.shared.primary()
    }

    /// What each instance would report, for judging.
    pub fn reports(&self) -> Vec<InstanceReport> {
        self.shared.reports()
    }

    /// Moments at which a primary was elected, with term and instance.
    pub fn elections(&self) -> Vec<(std::time::Instant, u64, usize)> {
        self.shared.elections()
    }

    /// Every recorded statement, in order.
    pub fn records(&self) -> Vec<StatementRecord> {
        self.shared.records()
    }

    /// Rows of a query on the present primary's own data, as text.
    pub async fn query_primary(&self, query: &str) -> Result<Vec<Vec<Option<String>>>, String> {
        let primary = self.primary().ok_or("no primary")?;
        let engine = self.shared.engine(primary);
        let engine = engine.lock().await;
        engine.rows_as_text(query)
    }
}
