//! The databases of the table in force, by name.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use linkhold_core::admission::SlotLimits;
use linkhold_core::table::{BackendState, Database, Instance, Topology};

use super::handle::GroupHandle;
use super::instance::InstanceHandle;
use crate::backend::Pool;
use crate::log_event::{Event, EventName};
use crate::machine_list::LeavingMachines;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// Requests of an access class that may wait for a slot, per slot of the instance.
const QUEUE_PER_SLOT: usize = 16;
/// Connections of the node's share that are set aside for an instance's probe.
const PROBE_CONNECTIONS: usize = 1;

/// Databases by name.
pub type DirectorySnapshot = Arc<BTreeMap<String, Arc<GroupHandle>>>;

/// Starts and updates a group for each database of the table.
pub struct Directory {
    settings: Arc<Settings>,
    metrics: Arc<Metrics>,
    leaving_machines: LeavingMachines,
    databases: ArcSwap<BTreeMap<String, Arc<GroupHandle>>>,
}

impl Directory {
    /// An empty directory.
    pub fn new(
        settings: Arc<Settings>,
        metrics: Arc<Metrics>,
        leaving_machines: LeavingMachines,
    ) -> Self {
        Self {
            settings,
            metrics,
            leaving_machines,
            databases: ArcSwap::default(),
        }
    }

    /// The current databases.
    pub fn snapshot(&self) -> DirectorySnapshot {
        self.databases.load_full()
    }

    /// The handle of one database; `None` if the table does not have it.
    pub fn get(&self, database: &str) -> Option<Arc<GroupHandle>> {
        self.databases.load().get(database).cloned()
    }

    /// Puts a topology in force. A group whose instances stay the same keeps its
    /// connections and view; only its limits and instance states change.
    pub fn apply(&self, topology: &Topology) {
        let known = self.databases.load_full();
        let databases = topology
            .databases
            .iter()
            .map(|(name, row)| {
                let handle = match known.get(name) {
                    Some(handle) if same_instances(&handle.row.load(), row) => {
                        self.update(handle, row);
                        handle.clone()
                    }
                    _ => Arc::new(self.start_group(row)),
                };
                (name.clone(), handle)
            })
            .collect();
        self.databases.store(Arc::new(databases));
    }

    fn update(&self, handle: &GroupHandle, row: &Database) {
        let before = handle.row.load_full();
        handle.row.store(Arc::new(row.clone()));
        for (index, instance) in row.instances.iter().enumerate() {
            let running = &handle.instances[index];
            running.set_limits(self.slot_limits(instance));
            running.pool.set_limit(self.connection_share(instance));
            if before.instances[index].state != instance.state {
                self.apply_state_change(row, instance, running);
            }
        }
    }

    fn apply_state_change(&self, row: &Database, instance: &Instance, running: &InstanceHandle) {
        let state = match instance.state {
            BackendState::Active => "active",
            BackendState::Leaving => "leaving",
        };
        Event::info(EventName::BackendState)
            .field("database", &row.name)
            .field("instance", &instance.name)
            .field("state", state)
            .log();
        if instance.state == BackendState::Leaving {
            running.pool.close_idle();
        }
    }

    fn start_group(&self, row: &Database) -> GroupHandle {
        let instances = row
            .instances
            .iter()
            .map(|instance| Arc::new(self.start_instance(row, instance)))
            .collect();
        GroupHandle::start(
            row.clone(),
            instances,
            &self.settings,
            &self.metrics,
            self.leaving_machines.clone(),
        )
    }

    fn start_instance(&self, row: &Database, instance: &Instance) -> InstanceHandle {
        let pool = Pool::new(
            self.dial_address(instance.address),
            row.name.clone(),
            self.connection_share(instance),
            self.settings.clone(),
        );
        InstanceHandle::new(instance.name.clone(), pool, self.slot_limits(instance))
    }

    fn dial_address(&self, address: SocketAddr) -> SocketAddr {
        let mapped = self.settings.address_map.get(&address);
        mapped.copied().unwrap_or(address)
    }

    fn slot_limits(&self, instance: &Instance) -> SlotLimits {
        let capacity = self.share(instance.slots);
        let reserve = capacity * self.settings.write_reserve_percent as usize;
        SlotLimits {
            capacity,
            write_reserve: reserve.div_ceil(100).min(capacity.saturating_sub(1)),
            queue_bound: capacity * QUEUE_PER_SLOT,
        }
    }

    fn connection_share(&self, instance: &Instance) -> usize {
        let share = self.share(instance.connection_limit);
        share.saturating_sub(PROBE_CONNECTIONS).max(1)
    }

    /// This node's share of a limit that applies to the whole fleet.
    fn share(&self, limit: u32) -> usize {
        (limit / self.settings.fleet_size).max(1) as usize
    }
}

fn same_instances(before: &Database, after: &Database) -> bool {
    let identity = |database: &Database| -> Vec<(String, SocketAddr)> {
        database
            .instances
            .iter()
            .map(|instance| (instance.name.clone(), instance.address))
            .collect()
    };
    identity(before) == identity(after)
}
