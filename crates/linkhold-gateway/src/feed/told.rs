//! What a reader has told its follower: a whole first, then what changes.

use std::collections::BTreeMap;
use std::time::Instant;

use linkhold_peer::{FeedFleet, FeedFleetChanges, FeedInstanceChanges, FeedInstances, FeedNode};

use crate::fleet;
use crate::gateway::Gateway;
use crate::ports::Platform;

/// The fleet as a reader has told it on this stream: all of it once, then what changes.
#[derive(Default)]
pub(super) struct ToldFleet {
    size: usize,
    readers: Vec<FeedNode>,
    nodes: BTreeMap<String, FeedNode>,
    /// Whether it was not vouched for yet.
    is_news: bool,
}

impl ToldFleet {
    pub fn replace(&mut self, fleet: FeedFleet) {
        let nodes = fleet.nodes.into_iter();
        *self = Self {
            size: fleet.size,
            readers: fleet.readers,
            nodes: nodes.map(|node| (node.name.clone(), node)).collect(),
            is_news: true,
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
        for name in &changes.gone {
            self.nodes.remove(name);
        }
        self.is_news = true;
    }

    /// Takes it in if it is news.
    pub fn adopt<P: Platform>(&mut self, gateway: &Gateway<P>) {
        if std::mem::take(&mut self.is_news) {
            let fleet = FeedFleet {
                size: self.size,
                readers: self.readers.clone(),
                nodes: self.nodes.values().cloned().collect(),
            };
            fleet::adopt_fleet(gateway, fleet, true);
        }
    }
}

/// What a reader has told of instances and not vouched for yet: all of them once, then what
/// changes.
#[derive(Default)]
pub(super) struct ToldInstances {
    whole: Option<FeedInstances>,
    changes: Vec<FeedInstanceChanges>,
}

impl ToldInstances {
    pub fn replace(&mut self, known: FeedInstances) {
        self.whole = Some(known);
        self.changes.clear();
    }

    pub fn change(&mut self, changes: FeedInstanceChanges) {
        self.changes.push(changes);
    }

    /// Takes them in. A change costs its own size, not that of the list: with 3,000
    /// instances each node compared all of them for each one that changed.
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
    gateway.store_era.observe(known.place.era());
    let listed = known
        .instances
        .into_iter()
        .filter(|(_, is_listed)| *is_listed)
        .map(|(instance, _)| instance);
    gateway
        .beliefs
        .replace_instances(listed.collect(), known.place, Instant::now());
}

fn adopt_instance_changes<P: Platform>(gateway: &Gateway<P>, changes: FeedInstanceChanges) {
    let beliefs = &gateway.beliefs;
    gateway.store_era.observe(changes.place.era());
    if !beliefs.advance_directory(changes.place) {
        return;
    }
    let now = Instant::now();
    for (instance, is_listed) in changes.changed {
        if is_listed {
            beliefs.announce_instance(instance, now);
        } else {
            beliefs.vanish_instance(instance.id.name(), now);
        }
    }
    for id in changes.gone {
        beliefs.vanish_life(&id, now);
    }
}
