//! Which life of each instance is there.
//!
//! An instance that starts again takes a new identity ([`InstanceId`]). The one that was
//! announced last is there; an earlier one that is announced again, as a list from an older
//! copy may, has ended.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use super::instance::InstanceId;

/// Earlier lives of an instance that are remembered: a list tells of one no longer than
/// a copy of it may be old, in which an instance starts a few times at the most.
const MOST_FORMER_LIVES: usize = 16;

/// What an announcement tells of the life of its instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IncarnationChange {
    /// It is the present one, or the first that is known.
    Unchanged,
    /// It is one that has ended.
    Ended,
    /// It takes the place of this one.
    Replaces(InstanceId),
}

/// The lives of one instance.
#[derive(Debug)]
struct Lives {
    present: InstanceId,
    /// Those that have ended, the latest last.
    former: VecDeque<InstanceId>,
}

impl Lives {
    fn new(present: InstanceId) -> Self {
        Self {
            present,
            former: VecDeque::new(),
        }
    }

    /// Another life takes the place of the present one, which is returned.
    fn begin(&mut self, id: &InstanceId) -> InstanceId {
        let ended = std::mem::replace(&mut self.present, id.clone());
        self.former.push_back(ended.clone());
        if self.former.len() > MOST_FORMER_LIVES {
            self.former.pop_front();
        }
        ended
    }
}

/// The lives of all instances, by the instances' names.
#[derive(Debug, Default)]
pub struct KnownIncarnations(HashMap<Arc<str>, Lives>);

impl KnownIncarnations {
    /// A life of an instance is announced.
    pub fn announce(&mut self, id: &InstanceId) -> IncarnationChange {
        let Some(lives) = self.0.get_mut(id.name()) else {
            self.0.insert(id.name().into(), Lives::new(id.clone()));
            return IncarnationChange::Unchanged;
        };
        if lives.present == *id {
            IncarnationChange::Unchanged
        } else if lives.former.contains(id) {
            IncarnationChange::Ended
        } else {
            IncarnationChange::Replaces(lives.begin(id))
        }
    }

    /// The present life of the instance with a name.
    pub fn present(&self, name: &str) -> Option<&InstanceId> {
        self.0.get(name).map(|lives| &lives.present)
    }

    /// The instance with a name is gone.
    pub fn forget(&mut self, name: &str) {
        self.0.remove(name);
    }
}
