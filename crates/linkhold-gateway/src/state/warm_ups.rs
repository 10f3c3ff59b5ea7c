//! What this node knows of the warmth of instances.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use linkhold_core::service::instance::{Instance, InstanceId};
use linkhold_core::service::warm_up::{SecondCount, WarmUpRules, Warmth};
use linkhold_events::Event;
use tokio::sync::Notify;

use crate::cluster_state::lock;

/// What is known of one instance.
#[derive(Default)]
pub(crate) struct Known {
    /// What proves that it is warm.
    pub warmth: Warmth,
    /// What this node sent it while it was not known warm.
    pub sent: SecondCount,
    /// Whether it was not known warm when it was looked at last.
    is_held_off: bool,
    /// Asks the one who watches it for a new answer.
    pub doubt: Arc<Notify>,
}

impl Known {
    /// Whether a statement may be sent uncounted on a connection.
    pub fn is_warm_on(
        &mut self,
        opened_at: Instant,
        rules: &WarmUpRules,
        entry: EntryKnown,
        now: Instant,
    ) -> bool {
        self.may_be_warm(rules, entry, now) && self.warmth.is_proved_since(opened_at)
    }

    /// Whether it is warm but for the age of the last proof. With the list of instances
    /// unread while an instance was started again, its last life's entry let 97 statements
    /// in a second through where 14 are allowed; with the instance cut off from the store, 160
    /// where 10 are.
    pub fn may_be_warm(&mut self, rules: &WarmUpRules, entry: EntryKnown, now: Instant) -> bool {
        self.warmth.entry_known(rules, entry.is_listed, entry.as_of);
        self.warmth.is_life_listed() && self.warmth.is_warm(rules, entry.says_cold, now)
    }

    /// Logs that an instance is taken for warm, or no longer.
    pub fn note_warmth(&mut self, instance: &Instance, is_warm: bool, says_cold: bool) {
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

/// What an instance's entry says of its warmth.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryKnown {
    /// It is there.
    pub is_listed: bool,
    /// It says that the instance is cold.
    pub says_cold: bool,
    /// The last moment as of which the entries are known.
    pub as_of: Option<Instant>,
}

/// What this node knows of the warmth of instances.
#[derive(Default)]
pub(crate) struct WarmUps {
    instances: Mutex<HashMap<InstanceId, Known>>,
}

impl WarmUps {
    /// Changes what is known of an instance.
    pub fn update<T>(&self, id: &InstanceId, update: impl FnOnce(&mut Known) -> T) -> T {
        let mut instances = lock(&self.instances);
        update(instances.entry(id.clone()).or_default())
    }

    /// Forgets all instances but these.
    pub fn retain(&self, present: &[Arc<Instance>]) {
        let is_present = |id: &InstanceId| present.iter().any(|it| it.id == *id);
        lock(&self.instances).retain(|id, _| is_present(id));
    }

    /// Another connection to an instance broke, or could not be made.
    pub fn doubted(&self, id: &InstanceId) {
        let mut instances = lock(&self.instances);
        if let Some(known) = instances.get_mut(id)
            && known.warmth.doubted(Instant::now())
        {
            known.doubt.notify_one();
        }
    }

    /// Instances that this node has sent to and that were not known warm then.
    pub fn count_cold(&self) -> usize {
        let instances = lock(&self.instances);
        instances.values().filter(|it| it.is_held_off).count()
    }
}
