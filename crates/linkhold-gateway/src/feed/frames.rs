//! Messages that are the same for all followers, encoded once.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::Configuration;
use linkhold_core::service::evacuation::ZoneName;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::store_place::StorePlace;
use linkhold_peer::{
    FeedEvacuations, FeedFleet, FeedFleetChanges, FeedInstanceChanges, FeedInstances, FeedMessage,
    FeedNode, PeerKey,
};

use super::framing::{Frame, frame};
use crate::beliefs::{Beliefs, lock};
use crate::state::Fleet;

/// How long an encoded fleet is told before it is looked whether it has changed.
pub(super) const FLEET_INTERVAL: Duration = Duration::from_millis(2_000);

/// An encoded message and the version of what it tells.
struct VersionedFrame {
    version: u64,
    frame: Frame,
}

/// Messages that are the same for all followers, encoded once.
#[derive(Default)]
pub(crate) struct FeedFrames {
    configuration: Mutex<Option<VersionedFrame>>,
    instances: Mutex<InstanceFrames>,
    evacuations: Mutex<Option<VersionedFrame>>,
    fleet: Mutex<FleetFrames>,
}

impl FeedFrames {
    /// The configuration; encoded anew when its version has changed.
    pub fn configuration(&self, configuration: &Configuration, key: &PeerKey) -> Frame {
        let message = || FeedMessage::Configuration(configuration.clone());
        cached(&self.configuration, configuration.version, key, message)
    }

    /// The instances as of a revision, which counts changes of their list and of
    /// the configuration, for a follower that was told `told`: what has changed
    /// since, or all of them. `None` if nothing has.
    pub fn instances(
        &self,
        revision: u64,
        told: Option<&Arc<InstanceSnapshot>>,
        beliefs: &Beliefs,
        key: &PeerKey,
    ) -> (Arc<InstanceSnapshot>, Option<Frame>) {
        let mut frames = lock(&self.instances);
        let present = frames.refresh(revision, beliefs);
        let frame = frames.frame_since(told, &present, key);
        (present, frame)
    }

    /// The zones that are evacuated as of a place in the store's changes; encoded
    /// anew when that has moved.
    pub fn evacuations(&self, zones: &[ZoneName], as_of: StorePlace, key: &PeerKey) -> Frame {
        let message = || {
            FeedMessage::Evacuations(FeedEvacuations {
                place: as_of,
                zones: zones.to_vec(),
            })
        };
        cached(&self.evacuations, as_of.to_bits(), key, message)
    }

    /// The fleet for a follower that was told `told`: what has changed since, or all of
    /// it, with what it is now; no frame if nothing has changed. `None` as long as not all
    /// nodes are known.
    pub fn fleet(
        &self,
        told: Option<&Arc<FleetSnapshot>>,
        fleet: &Fleet,
        key: &PeerKey,
    ) -> Option<(Arc<FleetSnapshot>, Option<Frame>)> {
        let mut frames = lock(&self.fleet);
        let present = frames.refresh(fleet)?;
        let frame = frames.frame_since(told, &present, key);
        Some((present, frame))
    }
}

/// All instances as a reader knew them at one time.
pub(crate) struct InstanceSnapshot {
    revision: u64,
    place: StorePlace,
    instances: HashMap<InstanceId, (Instance, bool)>,
}

impl InstanceSnapshot {
    fn take(revision: u64, beliefs: &Beliefs) -> Self {
        // Read first: what is listed may be newer than that, never older.
        let place = beliefs.directory_place();
        let instances = beliefs.all_instances().into_iter();
        Self {
            revision,
            place,
            instances: instances
                .map(|(instance, is_listed)| (instance.id.clone(), (instance, is_listed)))
                .collect(),
        }
    }

    fn whole(&self) -> FeedMessage {
        FeedMessage::Instances(FeedInstances {
            place: self.place,
            instances: self.instances.values().cloned().collect(),
        })
    }

    fn changes_since(&self, before: &Self) -> FeedInstanceChanges {
        let is_new = |(id, entry): &(&InstanceId, &(Instance, bool))| {
            before.instances.get(*id) != Some(*entry)
        };
        let changed = self.instances.iter().filter(is_new);
        let is_gone = |id: &&InstanceId| !self.instances.contains_key(*id);
        let gone = before.instances.keys().filter(is_gone);
        FeedInstanceChanges {
            place: self.place,
            changed: changed.map(|(_, entry)| entry.clone()).collect(),
            gone: gone.cloned().collect(),
        }
    }
}

/// The present instances, and frames that tell them.
#[derive(Default)]
struct InstanceFrames {
    present: Option<Arc<InstanceSnapshot>>,
    whole: Option<Frame>,
    /// Changes since an older revision; `None` if there are none.
    since: HashMap<u64, Option<Frame>>,
}

impl InstanceFrames {
    fn refresh(&mut self, revision: u64, beliefs: &Beliefs) -> Arc<InstanceSnapshot> {
        if let Some(present) = &self.present
            && present.revision == revision
        {
            return present.clone();
        }
        let present = Arc::new(InstanceSnapshot::take(revision, beliefs));
        self.present = Some(present.clone());
        self.whole = None;
        self.since.clear();
        present
    }

    fn frame_since(
        &mut self,
        told: Option<&Arc<InstanceSnapshot>>,
        present: &InstanceSnapshot,
        key: &PeerKey,
    ) -> Option<Frame> {
        let Some(told) = told else {
            let whole = self
                .whole
                .get_or_insert_with(|| frame(&present.whole(), key));
            return Some(whole.clone());
        };
        let encode = || {
            let changes = present.changes_since(told);
            let is_news = !changes.changed.is_empty() || !changes.gone.is_empty();
            is_news.then(|| frame(&FeedMessage::InstanceChanges(changes), key))
        };
        self.since
            .entry(told.revision)
            .or_insert_with(encode)
            .clone()
    }
}

/// The fleet as a reader knew it at one time.
pub(crate) struct FleetSnapshot {
    revision: u64,
    fleet: FeedFleet,
}

impl FleetSnapshot {
    fn changes_since(&self, before: &Self) -> FeedFleetChanges {
        let by_name = |fleet: &'_ FeedFleet| -> HashMap<String, FeedNode> {
            let nodes = fleet.nodes.iter();
            nodes
                .map(|node| (node.name.clone(), node.clone()))
                .collect()
        };
        let (old, new) = (by_name(&before.fleet), by_name(&self.fleet));
        let nodes = self.fleet.nodes.iter();
        let changed = nodes.filter(|node| old.get(&node.name) != Some(*node));
        let gone = old.keys().filter(|name| !new.contains_key(*name));
        let has_other_readers = self.fleet.readers != before.fleet.readers;
        FeedFleetChanges {
            size: self.fleet.size,
            readers: has_other_readers.then(|| self.fleet.readers.clone()),
            changed: changed.cloned().collect(),
            gone: gone.cloned().collect(),
        }
    }
}

/// The present fleet, and frames that tell it.
#[derive(Default)]
struct FleetFrames {
    looked_at: Option<Instant>,
    present: Option<Arc<FleetSnapshot>>,
    whole: Option<Frame>,
    /// Changes since an older revision. All nodes in 300 were told to each of 100 followers
    /// for every one that came or went.
    since: HashMap<u64, Frame>,
}

impl FleetFrames {
    /// The fleet as it was at most [`FLEET_INTERVAL`] ago; `None` as long as not all nodes
    /// are known.
    fn refresh(&mut self, fleet: &Fleet) -> Option<Arc<FleetSnapshot>> {
        let is_recent = self
            .looked_at
            .is_some_and(|at| at.elapsed() < FLEET_INTERVAL);
        if is_recent && let Some(present) = &self.present {
            return Some(present.clone());
        }
        let fleet = fleet.for_followers()?;
        self.looked_at = Some(Instant::now());
        if let Some(present) = self.present.as_ref().filter(|it| it.fleet == fleet) {
            return Some(present.clone());
        }
        let revision = self.present.as_ref().map_or(0, |it| it.revision + 1);
        let present = Arc::new(FleetSnapshot { revision, fleet });
        self.present = Some(present.clone());
        self.whole = None;
        self.since.clear();
        Some(present)
    }

    fn frame_since(
        &mut self,
        told: Option<&Arc<FleetSnapshot>>,
        present: &FleetSnapshot,
        key: &PeerKey,
    ) -> Option<Frame> {
        let Some(told) = told else {
            let whole = || frame(&FeedMessage::Fleet(present.fleet.clone()), key);
            return Some(self.whole.get_or_insert_with(whole).clone());
        };
        if told.revision == present.revision {
            return None;
        }
        let encode = || frame(&FeedMessage::FleetChanges(present.changes_since(told)), key);
        Some(
            self.since
                .entry(told.revision)
                .or_insert_with(encode)
                .clone(),
        )
    }
}

fn cached(
    slot: &Mutex<Option<VersionedFrame>>,
    version: u64,
    key: &PeerKey,
    message: impl FnOnce() -> FeedMessage,
) -> Frame {
    let mut known = lock(slot);
    if let Some(known) = &*known
        && known.version == version
    {
        return known.frame.clone();
    }
    let encoded = frame(&message(), key);
    *known = Some(VersionedFrame {
        version,
        frame: encoded.clone(),
    });
    encoded
}
