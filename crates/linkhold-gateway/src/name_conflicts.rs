//! Which process has a node's name.
//!
//! A process that stood still may wake and speak for primaries on a permission that lasts.
//! Until that has run out it has to be asked before a primary is replaced, so another
//! process is not listed under its name before, unless the first has certainly ended.

use std::time::Duration;

use futures::future::join_all;
use linkhold_events::Event;
use linkhold_peer::FeedNode;

use crate::fleet;
use crate::gateway::Gateway;
use crate::liveness::{self, ProcessState};
use crate::ports::Platform;
use crate::registry::{Process, Registration};

/// Processes of a name that may still run, and those that have ended.
#[derive(Debug, Default)]
pub(crate) struct NameConflicts {
    /// Those that may run and count as nodes of the fleet: they have the name.
    pub holders: Vec<Registration>,
    /// Those that may run and counted lately.
    pub former: Vec<Registration>,
    /// Those that have ended.
    pub ended: Vec<Registration>,
}

impl NameConflicts {
    /// Looks which of some processes still run.
    pub async fn probe(processes: Vec<Registration>) -> Self {
        let may_run = join_all(processes.iter().map(|process| may_run(&process.node))).await;
        let mut conflicts = Self::default();
        for (process, may_run) in processes.into_iter().zip(may_run) {
            if !may_run {
                conflicts.ended.push(process);
            } else if process.is_present() {
                conflicts.holders.push(process);
            } else if process.is_asked() {
                conflicts.former.push(process);
            }
        }
        conflicts
    }

    /// Whether another process has the name of one that would be listed; logs that.
    pub fn is_name_held(&self, waiting: &Process) -> bool {
        let Some(holder) = self.holders.first() else {
            return false;
        };
        Event::warn("name_held_by_another")
            .field("node", &waiting.name)
            .field("waiting", format_args!("{:?}", waiting.address))
            .field("address", format_args!("{:?}", holder.node.address))
            .field("age_ms", holder.age.as_millis())
            .log();
        true
    }
}

/// Whether a node that would follow this one has to wait, since another process of its
/// name is listed and may still run.
pub(crate) async fn is_name_held_by_another<P: Platform>(
    gateway: &Gateway<P>,
    node: &FeedNode,
) -> bool {
    let process = Process::of(node);
    if gateway.followers.has_live(&process) {
        return false;
    }
    let mut others = gateway.followers.others_of_its_name(&process);
    others.extend(gateway.fleet.others_of_its_name(&process));
    others.extend(own_conflict(gateway, &process));
    if others.is_empty() {
        return false;
    }
    let conflicts = NameConflicts::probe(others).await;
    for ended in &conflicts.ended {
        gateway.followers.left(&Process::of(&ended.node));
    }
    conflicts.is_name_held(&process)
}

/// This process, if another one has its name.
fn own_conflict<P: Platform>(gateway: &Gateway<P>, other: &Process) -> Option<Registration> {
    let own = fleet::own_node(gateway);
    let is_conflict = own.name == other.name && own.address != other.address;
    is_conflict.then_some(Registration {
        node: own,
        age: Duration::ZERO,
    })
}

/// Whether a process may still run. One that nobody can ask has no permission to speak for
/// primaries, and a machine that refuses connections runs none.
async fn may_run(node: &FeedNode) -> bool {
    match node.address {
        Some(address) => liveness::probe(address).await != ProcessState::Ended,
        None => false,
    }
}
