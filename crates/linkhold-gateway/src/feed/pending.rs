//! Data received from a reader and not yet confirmed by a heartbeat: complete at first,
//! then changes.

use std::collections::BTreeMap;
use std::time::Instant;

use linkhold_peer::{FeedFleet, FeedFleetChanges, FeedInstanceChanges, FeedInstances, FeedNode};

use crate::fleet;
use crate::gateway::Gateway;
use crate::ports::Platform;

/// The fleet as received on this stream: complete once, then changes.
#[derive(Default)]
pub(super) struct PendingFleet {
    size: usize,
    readers: Vec<FeedNode>,
    nodes: BTreeMap<String, FeedNode>,
    /// Whether it has changed since it was last adopted.
    has_changed: bool,
}

impl PendingFleet {
    pub fn replace(&mut self, fleet: FeedFleet) {
        let nodes = fleet.nodes.into_iter();
        *self = Self {
            size: fleet.size,
            readers: fleet.readers,
            nodes: nodes.map(|node| (node.name.clone(), node)).collect(),
            has_changed: true,
        };
    }

    pub fn change(&mut self, changes: FeedFleetChanges) {
        self.size = changes.size;
        if let Some(readers) = changes.readers {
            self.readers = readers;
        }
        let changed = changes.changed.into_iter();
        self.nodes
            .extend(changed.map(|node| (node.name.clone(), node)));
        for name in &changes.removed {
            self.nodes.remove(name);
        }
        self.has_changed = true;
    }

    /// Adopts the fleet if it has changed.
    pub fn adopt<P: Platform>(&mut self, gateway: &Gateway<P>) {
        if std::mem::take(&mut self.has_changed) {
            let fleet = FeedFleet {
                size: self.size,
                readers: self.readers.clone(),
                nodes: self.nodes.values().cloned().collect(),
            };
            fleet::adopt_fleet(gateway, fleet, true);
        }
    }
}

/// Instances as received and not yet adopted: all of them once, then changes.
#[derive(Default)]
pub(super) struct PendingInstances {
    whole: Option<FeedInstances>,
    changes: Vec<FeedInstanceChanges>,
}

impl PendingInstances {
    pub fn replace(&mut self, known: FeedInstances) {
        self.whole = Some(known);
        self.changes.clear();
    }

    pub fn change(&mut self, changes: FeedInstanceChanges) {
        self.changes.push(changes);
    }

    /// Adopts the instances. The cost of a change depends on its own size, not on that of
    /// the list: with 3,000 instances each node compared all of them for each change.
    pub fn adopt<P: Platform>(&mut self, gateway: &Gateway<P>) {
        if let Some(known) = self.whole.take() {
            adopt_instances(gateway, known);
        }
        for changes in self.changes.drain(..) {
            adopt_instance_changes(gateway, changes);
        }
    }
}

fn adopt_instances<P: Platform>(gateway: &Gateway<P>, known: FeedInstances) {
    gateway.store_era.observe(known.revision.era());
    let listed = known
        .instances
        .into_iter()
        .filter(|(_, is_listed)| *is_listed)
        .map(|(instance, _)| instance);
    gateway
        .cluster
        .replace_instances(listed.collect(), known.revision, Instant::now());
}

fn adopt_instance_changes<P: Platform>(gateway: &Gateway<P>, changes: FeedInstanceChanges) {
    let cluster = &gateway.cluster;
    gateway.store_era.observe(changes.revision.era());
    if !cluster.advance_directory(changes.revision) {
        return;
    }
    let now = Instant::now();
    for (instance, is_listed) in changes.changed {
        if is_listed {
            cluster.announce_instance(instance, now);
        } else {
            cluster.unlist_instance(instance.id.name(), now);
        }
    }
    for id in changes.removed {
        cluster.unlist_incarnation(&id, now);
    }
}
