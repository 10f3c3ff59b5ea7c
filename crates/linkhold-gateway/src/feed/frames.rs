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

/// How long an encoded fleet is sent before it is compared with the present one.
pub(super) const FLEET_INTERVAL: Duration = Duration::from_millis(2_000);

/// An encoded message and the version of its content.
struct VersionedFrame {
    version: u64,
    frame: Frame,
}

/// Messages that are the same for all followers, encoded once.
#[derive(Default)]
pub(crate) struct FeedFrames {
    configuration: Mutex<Option<VersionedFrame>>,
    instances: Mutex<SnapshotFrames<InstanceSnapshot>>,
    evacuations: Mutex<Option<VersionedFrame>>,
    fleet: Mutex<FleetFrames>,
}

impl FeedFrames {
    /// Returns the frame of the configuration, encoded anew if its version has changed.
    pub fn configuration(&self, configuration: &Configuration, key: &PeerKey) -> Frame {
        let message = || FeedMessage::Configuration(configuration.clone());
        cached(&self.configuration, configuration.version, key, message)
    }

    /// Returns the instances as of a revision, which counts changes of their list and of
    /// the configuration, and their frame for a follower that was last sent `sent`: the
    /// changes since, or all instances. No frame if nothing has changed.
    pub fn instances(
        &self,
        revision: u64,
        sent: Option<&Arc<InstanceSnapshot>>,
        cluster: &ClusterState,
        key: &PeerKey,
    ) -> (Arc<InstanceSnapshot>, Option<Frame>) {
        let mut frames = lock(&self.instances);
        let is_known = |current: &Arc<InstanceSnapshot>| current.revision == revision;
        let current = match frames.current.clone().filter(is_known) {
            Some(current) => current,
            None => frames.replace(InstanceSnapshot::take(revision, cluster)),
        };
        let frame = frames.frame_since(sent, &current, key);
        (current, frame)
    }

    /// Returns the frame of the evacuated zones as of a revision of the store, encoded anew
    /// if the revision has changed.
    pub fn evacuations(&self, zones: &[ZoneName], as_of: StoreRevision, key: &PeerKey) -> Frame {
        let message = || {
            FeedMessage::Evacuations(FeedEvacuations {
                revision: as_of,
                zones: zones.to_vec(),
            })
        };
        cached(&self.evacuations, as_of.to_bits(), key, message)
    }

    /// Returns the present fleet and its frame for a follower that was last sent
    /// `sent`: the changes since, or all nodes. No frame if nothing has changed; `None`
    /// while not all nodes are known.
    pub fn fleet(
        &self,
        sent: Option<&Arc<FleetSnapshot>>,
        fleet: &Fleet,
        key: &PeerKey,
    ) -> Option<(Arc<FleetSnapshot>, Option<Frame>)> {
        let mut frames = lock(&self.fleet);
        let current = frames.refresh(fleet)?;
        let frame = frames.frames.frame_since(sent, &current, key);
        Some((current, frame))
    }
}

/// Data of the reader at one time.
trait Snapshot {
    /// Number that differs between different snapshots.
    fn revision(&self) -> u64;

    /// The message with the complete state.
    fn full(&self) -> FeedMessage;

    /// The message with the changes since an earlier snapshot; `None` if there are none.
    fn changes_since(&self, before: &Self) -> Option<FeedMessage>;
}

/// The current snapshot, and its encoded frames.
struct SnapshotFrames<S> {
    current: Option<Arc<S>>,
    full: Option<Frame>,
    /// Frames of the changes since older revisions; `None` where there are none.
    since: HashMap<u64, Option<Frame>>,
}

impl<S> Default for SnapshotFrames<S> {
    fn default() -> Self {
        Self {
            current: None,
            full: None,
            since: HashMap::new(),
        }
    }
}

impl<S: Snapshot> SnapshotFrames<S> {
    fn replace(&mut self, current: S) -> Arc<S> {
        let current = Arc::new(current);
        self.current = Some(current.clone());
        self.full = None;
        self.since.clear();
        current
    }

    /// The complete state for a follower that was sent nothing, the changes since for
    /// others.
    fn frame_since(&mut self, sent: Option<&Arc<S>>, current: &S, key: &PeerKey) -> Option<Frame> {
        let Some(sent) = sent else {
            let full = self.full.get_or_insert_with(|| frame(&current.full(), key));
            return Some(full.clone());
        };
        if sent.revision() == current.revision() {
            return None;
        }
        let encode = || Some(frame(&current.changes_since(sent)?, key));
        self.since
            .entry(sent.revision())
            .or_insert_with(encode)
            .clone()
    }
}

/// All instances as a reader knew them at one time, each with whether it is listed.
pub(crate) struct InstanceSnapshot {
    /// Counts changes of the list of instances and of the configuration.
    revision: u64,
    store_revision: StoreRevision,
    instances: HashMap<InstanceId, (Instance, bool)>,
}

impl InstanceSnapshot {
    fn take(revision: u64, cluster: &ClusterState) -> Self {
        // Read first: the instances may be newer than this, never older.
        let store_revision = cluster.directory_revision();
        let instances = cluster.all_instances().into_iter();
        Self {
            revision,
            store_revision,
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

    fn full(&self) -> FeedMessage {
        FeedMessage::Instances(FeedInstances {
            revision: self.store_revision,
            instances: self.instances.values().cloned().collect(),
        })
    }

    fn changes_since(&self, before: &Self) -> Option<FeedMessage> {
        let is_new = |(id, entry): &(&InstanceId, &(Instance, bool))| {
            before.instances.get(*id) != Some(*entry)
        };
        let changed = self.instances.iter().filter(is_new);
        let is_removed = |id: &&InstanceId| !self.instances.contains_key(*id);
        let changes = FeedInstanceChanges {
            revision: self.store_revision,
            changed: changed.map(|(_, entry)| entry.clone()).collect(),
            removed: before
                .instances
                .keys()
                .filter(is_removed)
                .cloned()
                .collect(),
        };
        let has_changes = !changes.changed.is_empty() || !changes.removed.is_empty();
        has_changes.then_some(FeedMessage::InstanceChanges(changes))
    }
}

/// The fleet as a reader knew it at one time.
pub(crate) struct FleetSnapshot {
    /// Counts changes of the fleet.
    revision: u64,
    fleet: FeedFleet,
}

impl Snapshot for FleetSnapshot {
    fn revision(&self) -> u64 {
        self.revision
    }

    fn full(&self) -> FeedMessage {
        FeedMessage::Fleet(self.fleet.clone())
    }

    fn changes_since(&self, before: &Self) -> Option<FeedMessage> {
        let [old, new] = [before, self].map(|it| nodes_by_name(&it.fleet));
        let is_new = |node: &&FeedNode| old.get(node.name.as_str()) != Some(node);
        let is_removed = |node: &&FeedNode| !new.contains_key(node.name.as_str());
        let removed = before.fleet.nodes.iter().filter(is_removed);
        let has_other_readers = self.fleet.readers != before.fleet.readers;
        Some(FeedMessage::FleetChanges(FeedFleetChanges {
            size: self.fleet.size,
            readers: has_other_readers.then(|| self.fleet.readers.clone()),
            changed: self.fleet.nodes.iter().filter(is_new).cloned().collect(),
            removed: removed.map(|node| node.name.clone()).collect(),
        }))
    }
}

fn nodes_by_name(fleet: &FeedFleet) -> HashMap<&str, &FeedNode> {
    let nodes = fleet.nodes.iter();
    nodes.map(|node| (node.name.as_str(), node)).collect()
}

/// Frames of the fleet, refreshed at intervals: a complete fleet of 335 nodes was 3.2 KB,
/// sent to each follower for every node that came or went.
#[derive(Default)]
struct FleetFrames {
    refreshed_at: Option<Instant>,
    frames: SnapshotFrames<FleetSnapshot>,
}

impl FleetFrames {
    /// Returns the fleet as of at most [`FLEET_INTERVAL`] ago; `None` while not all
    /// nodes are known.
    fn refresh(&mut self, fleet: &Fleet) -> Option<Arc<FleetSnapshot>> {
        let current = self.frames.current.clone();
        let is_recent = self
            .refreshed_at
            .is_some_and(|at| at.elapsed() < FLEET_INTERVAL);
        if is_recent && current.is_some() {
            return current;
        }
        let fleet = fleet.for_followers()?;
        self.refreshed_at = Some(Instant::now());
        let revision = match current {
            Some(current) if current.fleet == fleet => return Some(current),
            Some(current) => current.revision + 1,
            None => 0,
        };
        Some(self.frames.replace(FleetSnapshot { revision, fleet }))
    }
}

/// Returns the cached frame of a version, or encodes and caches it.
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
