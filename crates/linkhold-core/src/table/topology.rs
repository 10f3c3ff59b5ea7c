//! What a checked table means.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::hours::HourRange;

/// Whether new work may go to a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BackendState {
    /// Takes work.
    Active,
    /// Finishes what it has and takes no new work.
    Leaving,
}

/// Weight of an instance in some hours of the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HourlyWeight {
    /// Hours the weight holds for.
    pub hours: HourRange,
    /// Share of replica reads relative to the other instances.
    pub weight: u32,
}

/// One back end instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name, unique within its database.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Zone it stands in.
    pub zone: String,
    /// Weights by hour; hours that no row names have weight 0.
    pub weights: Vec<HourlyWeight>,
    /// Requests it runs at once.
    pub slots: u32,
    /// Connections the whole fleet may hold to it.
    pub connection_limit: u32,
    /// Whether it takes new work.
    pub state: BackendState,
}

impl Instance {
    /// Weight at an hour of the day (0 to 23, UTC).
    pub fn weight_at(&self, hour: u8) -> u32 {
        self.weights
            .iter()
            .find(|entry| entry.hours.contains(hour))
            .map_or(0, |entry| entry.weight)
    }
}

/// One replicated database: a primary and its replicas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Database {
    /// Group it belongs to.
    pub group: String,
    /// Name callers connect to.
    pub name: String,
    /// Instances in table order.
    pub instances: Vec<Instance>,
    /// Longest wait of a read for a fresh instance.
    pub read_wait: Duration,
    /// Longest wait of a write for a primary.
    pub write_wait: Duration,
}

/// All databases of a checked table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Topology {
    /// Databases by name.
    pub databases: BTreeMap<String, Database>,
}
