//! Messages that are the same for all followers, encoded once.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::Configuration;
use linkhold_core::service::evacuation::ZoneName;
use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::store_place::StorePlace;
use linkhold_peer::{FeedEvacuations, FeedInstanceChanges, FeedInstances, FeedMessage, PeerKey};

use super::framing::frame;
use crate::beliefs::{Beliefs, lock};
use crate::state::Fleet;

/// How long an encoded fleet is told before it is looked whether it has changed.
pub(super) const FLEET_INTERVAL: Duration = Duration::from_millis(2_000);

/// An encoded message and the version of what it tells.
struct VersionedFrame {
    version: u64,
    frame: Arc<[u8]>,
}

/// Messages that are the same for all followers, encoded once.
#[derive(Default)]
pub(crate) struct FeedFrames {
    configuration: Mutex<Option<VersionedFrame>>,
    instances: Mutex<InstanceFrames>,
    evacuations: Mutex<Option<VersionedFrame>>,
    fleet: Mutex<Option<FleetFrame>>,
}

/// The fleet as it was encoded last.
struct FleetFrame {
    encoded_at: Instant,
    frame: Arc<[u8]>,
}

impl FeedFrames {
    /// The configuration; encoded anew when its version has changed.
    pub fn configuration(&self, configuration: &Configuration, key: &PeerKey) -> Arc<[u8]> {
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
    ) -> (Arc<InstanceSnapshot>, Option<Arc<[u8]>>) {
        let mut frames = lock(&self.instances);
        let present = frames.refresh(revision, beliefs);
        let frame = frames.frame_since(told, &present, key);
        (present, frame)
    }

    /// The zones that are evacuated as of a place in the store's changes; encoded
    /// anew when that has moved.
    pub fn evacuations(&self, zones: &[ZoneName], as_of: StorePlace, key: &PeerKey) -> Arc<[u8]> {
        let message = || {
            FeedMessage::Evacuations(FeedEvacuations {
                place: as_of,
                zones: zones.to_vec(),
            })
        };
        cached(&self.evacuations, as_of.to_bits(), key, message)
    }

    /// The fleet, if all its nodes are known. The same frame as before unless it
    /// has changed.
    pub fn fleet(&self, fleet: &Fleet, key: &PeerKey) -> Option<Arc<[u8]>> {
        let mut known = lock(&self.fleet);
        if let Some(known) = &*known
            && known.encoded_at.elapsed() < FLEET_INTERVAL
        {
            return Some(known.frame.clone());
        }
        let encoded = frame(&FeedMessage::Fleet(fleet.for_followers()?), key);
        let unchanged = known.take().map(|known| known.frame);
        let frame = unchanged.filter(|old| *old == encoded).unwrap_or(encoded);
        *known = Some(FleetFrame {
            encoded_at: Instant::now(),
            frame: frame.clone(),
        });
        Some(frame)
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
    whole: Option<Arc<[u8]>>,
    /// Changes since an older revision; `None` if there are none.
    since: HashMap<u64, Option<Arc<[u8]>>>,
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
    ) -> Option<Arc<[u8]>> {
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

fn cached(
    slot: &Mutex<Option<VersionedFrame>>,
    version: u64,
    key: &PeerKey,
    message: impl FnOnce() -> FeedMessage,
) -> Arc<[u8]> {
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
