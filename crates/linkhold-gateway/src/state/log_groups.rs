//! What the store is known to record of the logs of services with synchronous replicas.

use std::collections::{BTreeSet, HashMap};
use std::sync::Mutex;

use linkhold_core::service::configuration::ServiceName;
use linkhold_core::service::instance::InstanceId;
use linkhold_core::service::log_group::LogGroup;
use linkhold_core::service::store_revision::Era;
use tokio::sync::{Notify, watch};

use crate::cluster_state::lock;

/// A record that the store holds, and its era when it was read or written.
#[derive(Clone, Debug)]
struct StoredGroup {
    group: LogGroup,
    era: Era,
}

/// The records that the store is known to hold.
#[derive(Debug, Default)]
pub(crate) struct LogGroups {
    stored: Mutex<HashMap<ServiceName, StoredGroup>>,
    /// Services whose commits wait for a record.
    awaited: Mutex<BTreeSet<ServiceName>>,
    is_awaited: Notify,
    changes: watch::Sender<u64>,
}

impl LogGroups {
    /// Records what the store holds of a service in an era.
    pub fn record(&self, service: &ServiceName, group: LogGroup, era: Era) {
        lock(&self.awaited).remove(service);
        lock(&self.stored).insert(service.clone(), StoredGroup { group, era });
        self.changes.send_modify(|count| *count += 1);
    }

    /// Whether the store, in this era, is known to hold a record of the service that
    /// covers these instances and this number of synchronous replicas.
    pub fn covers<'a>(
        &self,
        service: &str,
        instances: impl IntoIterator<Item = &'a InstanceId>,
        guaranteed: usize,
        era: Era,
    ) -> bool {
        let stored = lock(&self.stored);
        let stored = stored.get(service).filter(|stored| stored.era == era);
        stored.is_some_and(|stored| stored.group.covers(instances, guaranteed))
    }

    /// The record that the store held when it was last read or written, in any era.
    pub fn latest(&self, service: &str) -> Option<LogGroup> {
        let stored = lock(&self.stored);
        stored.get(service).map(|stored| stored.group.clone())
    }

    /// The record that the store held in another era than this one, if it was last read
    /// or written then.
    pub fn latest_of_other_era(&self, service: &str, era: Era) -> Option<LogGroup> {
        let stored = lock(&self.stored);
        let other = stored.get(service).filter(|stored| stored.era != era);
        other.map(|stored| stored.group.clone())
    }

    /// The services with a record.
    pub fn services(&self) -> Vec<ServiceName> {
        lock(&self.stored).keys().cloned().collect()
    }

    /// Has the record of a service be brought up to date at once.
    pub fn request(&self, service: &ServiceName) {
        if lock(&self.awaited).insert(service.clone()) {
            self.is_awaited.notify_one();
        }
    }

    /// Whether commits of a service wait for its record.
    pub fn is_awaited(&self, service: &str) -> bool {
        lock(&self.awaited).contains(service)
    }

    /// Waits until commits of another service wait for its record.
    pub async fn requested(&self) {
        self.is_awaited.notified().await;
    }

    /// Receives changes of the records.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
