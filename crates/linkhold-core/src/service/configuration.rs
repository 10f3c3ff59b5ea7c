//! The configuration in force: which database is served by which service, and
//! what its statements may expect.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Name of a service, a group of instances with one primary.
pub type ServiceName = Arc<str>;

/// How fresh the reads of a route must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Every acknowledged commit is visible.
    Latest,
    /// Commits acknowledged longer ago than the bound are visible.
    BoundedStaleness(Duration),
    /// As [`Consistency::BoundedStaleness`], and all commits of the session.
    ReadYourWrites(Duration),
}

/// What holds for the statements of one database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Service that holds the database.
    pub service: ServiceName,
    /// How fresh its reads must be.
    pub consistency: Consistency,
    /// Longest time one statement may take.
    pub statement_timeout: Duration,
    /// Time within which an operation should be answered.
    pub latency_objective: Duration,
    /// Rank in queues; 0 is the most urgent.
    pub priority: u8,
}

/// Limits of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Most connections each instance takes from all nodes together.
    pub max_connections: usize,
    /// Replicas that must hold a commit before it is answered.
    pub synchronous_replicas: usize,
}

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Configuration {
    /// Version; rises with every change, in uneven steps.
    pub version: u64,
    /// Routes by the name of the database.
    pub routes: HashMap<Arc<str>, Arc<Route>>,
    /// Services by name.
    pub services: HashMap<ServiceName, ServiceLimits>,
    /// How long a transaction may stay idle; `None` is without end.
    pub transaction_idle_timeout: Option<Duration>,
}

impl Configuration {
    /// The route of a database.
    pub fn route(&self, database: &str) -> Option<&Arc<Route>> {
        self.routes.get(database)
    }

    /// Whether this version may replace `current`: versions never go back.
    pub fn supersedes(&self, current: Option<&Configuration>) -> bool {
        current.is_none_or(|current| self.version > current.version)
    }
}
