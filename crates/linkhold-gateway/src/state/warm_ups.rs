//! State of the warm-up of instances, as this node knows it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::warm_up::{RequestWindow, WarmUpRules, Warmth};
use linkhold_events::Event;
use tokio::sync::Notify;

use crate::cluster_state::lock;

/// Known warmth of one instance.
#[derive(Default)]
pub(crate) struct KnownWarmth {
    /// Proofs that the instance is warm.
    pub warmth: Warmth,
    /// Statements that this node sent while the instance was not known to be warm.
    pub sent: RequestWindow,
    /// Whether the instance was not known to be warm at the last check.
    is_held_off: bool,
    /// Notifies the instance's watcher to probe the instance at once.
    pub needs_answer: Arc<Notify>,
}

impl KnownWarmth {
    /// Whether a statement may be sent without being counted, on a connection that was
    /// opened at `opened_at`.
    pub fn is_warm_on(
        &mut self,
        opened_at: Instant,
        rules: &WarmUpRules,
        entry: KnownEntry,
        now: Instant,
    ) -> bool {
        self.may_be_warm(rules, entry, now) && self.warmth.is_answered_since(opened_at)
    }

    /// Whether the instance is warm, regardless of whether the last proof is newer than
    /// the connection. The entry must be that of the instance's current incarnation:
    /// when an instance restarted while the list of instances was not read, the entry
    /// of its previous incarnation let 97 statements through in a second where 14 are
    /// allowed; when it restarted cut off from the store, 160 where 10 are.
    pub fn may_be_warm(&mut self, rules: &WarmUpRules, entry: KnownEntry, now: Instant) -> bool {
        self.warmth
            .record_listing(rules, entry.is_listed, entry.as_of);
        self.warmth.is_incarnation_listed() && self.warmth.is_warm(rules, entry.says_cold, now)
    }

    /// Logs when an instance starts or ceases to count as warm.
    pub fn log_warmth_change(&mut self, instance: &Instance, is_warm: bool, says_cold: bool) {
        if std::mem::replace(&mut self.is_held_off, !is_warm) != is_warm {
            return;
        }
        Event::info("instance_warmth_changed")
            .field("instance", &instance.id)
            .field("service", &instance.service)
            .field("is_warm", is_warm)
            .field("says_cold", says_cold)
            .log();
    }
}

/// What is known of an instance's entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownEntry {
    /// Whether the entry exists.
    pub is_listed: bool,
    /// Whether the entry states that the instance is cold.
    pub says_cold: bool,
    /// The last time as of which the entries are known.
    pub as_of: Option<Instant>,
}

/// Known warmth of all instances of services with a limit for cold ones.
#[derive(Default)]
pub(crate) struct WarmUps {
    instances: Mutex<HashMap<InstanceId, KnownWarmth>>,
}

impl WarmUps {
    /// Updates the known warmth of an instance.
    pub fn update<T>(&self, id: &InstanceId, update: impl FnOnce(&mut KnownWarmth) -> T) -> T {
        let mut instances = lock(&self.instances);
        update(instances.entry(id.clone()).or_default())
    }

    /// Forgets all instances but these.
    pub fn retain(&self, present: &[Arc<Instance>]) {
        let is_present = |id: &InstanceId| present.iter().any(|it| it.id == *id);
        lock(&self.instances).retain(|id, _| is_present(id));
    }

    /// Requests a new proof after another connection to an instance broke or could not
    /// be opened: the instance may have restarted.
    pub fn suspect_restart(&self, id: &InstanceId) {
        let mut instances = lock(&self.instances);
        if let Some(known) = instances.get_mut(id)
            && known.warmth.record_doubt(Instant::now())
        {
            known.needs_answer.notify_one();
        }
    }

    /// Number of instances that were not known to be warm when this node last sent to
    /// them.
    pub fn count_held_off(&self) -> usize {
        let instances = lock(&self.instances);
        instances.values().filter(|it| it.is_held_off).count()
    }
}
