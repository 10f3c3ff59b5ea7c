//! Databases and instances, as built from a checked table.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::hours::HourRange;

/// Whether a back end accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BackendState {
    /// Accepts new work.
    Active,
    /// Finishes its current work and accepts no more.
    Leaving,
}

/// Weight of an instance in a range of hours of the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HourlyWeight {
    /// Hours in which the weight applies.
    pub hours: HourRange,
    /// Share of replica reads relative to the other instances.
    pub weight: u32,
}

/// One back end instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Name, unique within its database.
    pub name: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Zone in which it is located.
    pub zone: String,
    /// Weights by hour; hours that no row covers have weight 0.
    pub weights: Vec<HourlyWeight>,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Connections to it that the whole fleet may hold.
    pub connection_limit: u32,
    /// Whether it accepts new work.
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
