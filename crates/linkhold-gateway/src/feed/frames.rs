//! Messages that are the same for all followers, encoded once.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::Configuration;
use linkhold_core::service::evacuation::ZoneName;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::store_revision::StoreRevision;
use linkhold_peer::{
    FeedEvacuations, FeedFleet, FeedFleetChanges, FeedInstanceChanges, FeedInstances, FeedMessage,
    FeedNode, PeerKey,
};

use super::framing::{Frame, frame};
use crate::cluster_state::{ClusterState, lock};
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
    instances: Mutex<ChangingFrames<InstanceSnapshot>>,
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
        cluster: &ClusterState,
        key: &PeerKey,
    ) -> (Arc<InstanceSnapshot>, Option<Frame>) {
        let mut frames = lock(&self.instances);
        let is_known = |present: &Arc<InstanceSnapshot>| present.revision == revision;
        let present = match frames.present.clone().filter(is_known) {
            Some(present) => present,
            None => frames.replace(InstanceSnapshot::take(revision, cluster)),
        };
        let frame = frames.frame_since(told, &present, key);
        (present, frame)
    }

    /// The zones that are evacuated as of a place in the store's changes; encoded
    /// anew when that has moved.
    pub fn evacuations(&self, zones: &[ZoneName], as_of: StoreRevision, key: &PeerKey) -> Frame {
        let message = || {
            FeedMessage::Evacuations(FeedEvacuations {
                revision: as_of,
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
        let frame = frames.frames.frame_since(told, &present, key);
        Some((present, frame))
    }
}

/// Something that changes, as a reader knew it at one time.
trait Snapshot {
    /// Differs whenever it does.
    fn revision(&self) -> u64;

    /// All of it.
    fn whole(&self) -> FeedMessage;

    /// What has changed since; `None` if nothing has.
    fn changes_since(&self, before: &Self) -> Option<FeedMessage>;
}

/// The present state of something that changes, and frames that tell it.
struct ChangingFrames<S> {
    present: Option<Arc<S>>,
    whole: Option<Frame>,
    /// Changes since an older revision; `None` if there are none.
    since: HashMap<u64, Option<Frame>>,
}

impl<S> Default for ChangingFrames<S> {
    fn default() -> Self {
        Self {
            present: None,
            whole: None,
            since: HashMap::new(),
        }
    }
}

impl<S: Snapshot> ChangingFrames<S> {
    fn replace(&mut self, present: S) -> Arc<S> {
        let present = Arc::new(present);
        self.present = Some(present.clone());
        self.whole = None;
        self.since.clear();
        present
    }

    /// All of it for a follower that was told nothing, what has changed since for others.
    fn frame_since(&mut self, told: Option<&Arc<S>>, present: &S, key: &PeerKey) -> Option<Frame> {
        let Some(told) = told else {
            let whole = self
                .whole
                .get_or_insert_with(|| frame(&present.whole(), key));
            return Some(whole.clone());
        };
        if told.revision() == present.revision() {
            return None;
        }
        let encode = || Some(frame(&present.changes_since(told)?, key));
        self.since
            .entry(told.revision())
            .or_insert_with(encode)
            .clone()
    }
}

/// All instances as a reader knew them at one time.
pub(crate) struct InstanceSnapshot {
    /// Counts changes of their list and of the configuration.
    revision: u64,
    place: StoreRevision,
    instances: HashMap<InstanceId, (Instance, bool)>,
}

impl InstanceSnapshot {
    fn take(revision: u64, cluster: &ClusterState) -> Self {
        // Read first: what is listed may be newer than that, never older.
        let place = cluster.directory_revision();
        let instances = cluster.all_instances().into_iter();
        Self {
            revision,
            place,
            instances: instances
                .map(|(instance, is_listed)| (instance.id.clone(), (instance, is_listed)))
                .collect(),
        }
    }
}

impl Snapshot for InstanceSnapshot {
    fn revision(&self) -> u64 {
        self.revision
    }

    fn whole(&self) -> FeedMessage {
        FeedMessage::Instances(FeedInstances {
            revision: self.place,
            instances: self.instances.values().cloned().collect(),
        })
    }

    fn changes_since(&self, before: &Self) -> Option<FeedMessage> {
        let is_new = |(id, entry): &(&InstanceId, &(Instance, bool))| {
            before.instances.get(*id) != Some(*entry)
        };
        let changed = self.instances.iter().filter(is_new);
        let is_gone = |id: &&InstanceId| !self.instances.contains_key(*id);
        let changes = FeedInstanceChanges {
            revision: self.place,
            changed: changed.map(|(_, entry)| entry.clone()).collect(),
            removed: before.instances.keys().filter(is_gone).cloned().collect(),
        };
        let is_news = !changes.changed.is_empty() || !changes.removed.is_empty();
        is_news.then_some(FeedMessage::InstanceChanges(changes))
    }
}

/// The fleet as a reader knew it at one time.
pub(crate) struct FleetSnapshot {
    /// Counts its changes.
    revision: u64,
    fleet: FeedFleet,
}

impl Snapshot for FleetSnapshot {
    fn revision(&self) -> u64 {
        self.revision
    }

    fn whole(&self) -> FeedMessage {
        FeedMessage::Fleet(self.fleet.clone())
    }

    fn changes_since(&self, before: &Self) -> Option<FeedMessage> {
        let [old, new] = [before, self].map(|it| nodes_by_name(&it.fleet));
        let is_new = |node: &&FeedNode| old.get(node.name.as_str()) != Some(node);
        let is_gone = |node: &&FeedNode| !new.contains_key(node.name.as_str());
        let gone = before.fleet.nodes.iter().filter(is_gone);
        let has_other_readers = self.fleet.readers != before.fleet.readers;
        Some(FeedMessage::FleetChanges(FeedFleetChanges {
            size: self.fleet.size,
            readers: has_other_readers.then(|| self.fleet.readers.clone()),
            changed: self.fleet.nodes.iter().filter(is_new).cloned().collect(),
            removed: gone.map(|node| node.name.clone()).collect(),
        }))
    }
}

fn nodes_by_name(fleet: &FeedFleet) -> HashMap<&str, &FeedNode> {
    let nodes = fleet.nodes.iter();
    nodes.map(|node| (node.name.as_str(), node)).collect()
}

/// Frames of the fleet, which is looked at from time to time: all nodes of 335 were 3.2 KB,
/// told to each follower for every one that came or went.
#[derive(Default)]
struct FleetFrames {
    looked_at: Option<Instant>,
    frames: ChangingFrames<FleetSnapshot>,
}

impl FleetFrames {
    /// The fleet as it was at most [`FLEET_INTERVAL`] ago; `None` as long as not all nodes
    /// are known.
    fn refresh(&mut self, fleet: &Fleet) -> Option<Arc<FleetSnapshot>> {
        let present = self.frames.present.clone();
        let is_recent = self
            .looked_at
            .is_some_and(|at| at.elapsed() < FLEET_INTERVAL);
        if is_recent && present.is_some() {
            return present;
        }
        let fleet = fleet.for_followers()?;
        self.looked_at = Some(Instant::now());
        let revision = match present {
            Some(present) if present.fleet == fleet => return Some(present),
            Some(present) => present.revision + 1,
            None => 0,
        };
        Some(self.frames.replace(FleetSnapshot { revision, fleet }))
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
