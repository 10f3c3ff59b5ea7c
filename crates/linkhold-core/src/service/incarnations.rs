//! Which incarnation of each instance is the current one.
//!
//! An instance that is restarted takes a new identity ([`InstanceId`]). The incarnation
//! that was announced last is current; an earlier one that is announced again, as a
//! list from an older copy may do, has ended.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::instance::InstanceId;

/// Maximum number of ended incarnations kept per instance. A list mentions one no
/// longer than a copy of the list may be old, and an instance is restarted a few times
/// in that period at most.
const MAX_ENDED: usize = 16;

/// What an announcement changes about the current incarnation of its instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IncarnationChange {
    /// Nothing: it is the current one, or the first known.
    Unchanged,
    /// Nothing: it is one that has ended.
    Ended,
    /// It replaces this one.
    Replaces(InstanceId),
}

/// The incarnations of one instance.
#[derive(Debug)]
struct Incarnations {
    current: InstanceId,
    /// Those that have ended, the latest last.
    ended: VecDeque<InstanceId>,
}

impl Incarnations {
    fn new(current: InstanceId) -> Self {
        Self {
            current,
            ended: VecDeque::new(),
        }
    }

    /// Makes another incarnation the current one; returns the one that has ended.
    fn begin(&mut self, id: &InstanceId) -> InstanceId {
        let ended = std::mem::replace(&mut self.current, id.clone());
        self.ended.push_back(ended.clone());
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
        ended
    }
}

/// The incarnations of all instances, by the instances' names.
#[derive(Debug, Default)]
pub struct KnownIncarnations(HashMap<Arc<str>, Incarnations>);

impl KnownIncarnations {
    /// Takes in an announced incarnation.
    pub fn announce(&mut self, id: &InstanceId) -> IncarnationChange {
        let Some(incarnations) = self.0.get_mut(id.name()) else {
            self.0
                .insert(id.name().into(), Incarnations::new(id.clone()));
            return IncarnationChange::Unchanged;
        };
        if incarnations.current == *id {
            IncarnationChange::Unchanged
        } else if incarnations.ended.contains(id) {
            IncarnationChange::Ended
        } else {
            IncarnationChange::Replaces(incarnations.begin(id))
        }
    }

    /// The current incarnation of the instance with a name.
    pub fn current(&self, name: &str) -> Option<&InstanceId> {
        self.0.get(name).map(|incarnations| &incarnations.current)
    }

    /// Forgets the instance with a name.
    pub fn forget(&mut self, name: &str) {
        self.0.remove(name);
    }
}
