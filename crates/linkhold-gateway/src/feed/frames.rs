//! Messages that are the same for all followers, encoded once.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_core::service::configuration::Configuration;
use linkhold_peer::{FeedInstances, FeedMessage, PeerKey};

use super::frame;
use crate::beliefs::{Beliefs, lock};
use crate::fleet::Fleet;

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
    instances: Mutex<Option<VersionedFrame>>,
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

    /// All instances; encoded anew when their list or the configuration has
    /// changed, which `revision` counts.
    pub fn instances(&self, revision: u64, beliefs: &Beliefs, key: &PeerKey) -> Arc<[u8]> {
        let message = || {
            // Read first: what is listed may be newer than that, never older.
            let cursor = beliefs.directory_cursor().0;
            FeedMessage::Instances(FeedInstances {
                cursor,
                instances: beliefs.all_instances(),
            })
        };
        cached(&self.instances, revision, key, message)
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
