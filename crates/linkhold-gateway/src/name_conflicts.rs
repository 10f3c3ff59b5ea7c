//! Conflicts between processes that claim the same node name.
//!
//! A process that was paused may resume while its permission to acknowledge for primaries
//! is still valid. Until that permission expires, the process must be asked before a
//! primary is replaced, so no other process is listed under its name unless the first one
//! has certainly ended.

use std::time::Duration;

use futures::future::join_all;
use linkhold_events::Event;
use linkhold_peer::FeedNode;

use crate::fleet;
use crate::gateway::Gateway;
use crate::liveness::{self, ProcessState};
use crate::ports::Platform;
use crate::registry::{Process, Registration};

/// Processes of one name, grouped by whether they may still run.
#[derive(Debug, Default)]
pub(crate) struct NameConflicts {
    /// Processes that may run and count as nodes of the fleet: they hold the name.
    pub holders: Vec<Registration>,
    /// Processes that may run and counted as nodes until recently.
    pub former: Vec<Registration>,
    /// Processes that have ended.
    pub ended: Vec<Registration>,
}

impl NameConflicts {
    /// Probes which of the processes may still run.
    pub async fn probe(processes: Vec<Registration>) -> Self {
        let may_run = join_all(processes.iter().map(|process| may_run(&process.node))).await;
        let mut conflicts = Self::default();
        for (process, may_run) in processes.into_iter().zip(may_run) {
            if !may_run {
                conflicts.ended.push(process);
            } else if process.is_present() {
                conflicts.holders.push(process);
            } else if process.is_consulted() {
                conflicts.former.push(process);
            }
        }
        conflicts
    }

    /// Whether another process holds the name of a process that waits to be listed; logs
    /// the conflict.
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

/// Whether a node that wants to follow this one has to wait because another process of its
/// name is listed and may still run.
pub(crate) async fn is_name_held_by_another<P: Platform>(
    gateway: &Gateway<P>,
    node: &FeedNode,
) -> bool {
    let process = Process::of(node);
    if gateway.followers.has_present(&process) {
        return false;
    }
    let mut others = gateway.followers.others_of_name(&process);
    others.extend(gateway.fleet.others_of_name(&process));
    others.extend(own_conflict(gateway, &process));
    if others.is_empty() {
        return false;
    }
    let conflicts = NameConflicts::probe(others).await;
    for ended in &conflicts.ended {
        gateway.followers.remove(&Process::of(&ended.node));
    }
    conflicts.is_name_held(&process)
}

/// This process, if the other one has its name and another address.
fn own_conflict<P: Platform>(gateway: &Gateway<P>, other: &Process) -> Option<Registration> {
    let own = fleet::own_node(gateway);
    let is_conflict = own.name == other.name && own.address != other.address;
    is_conflict.then_some(Registration {
        node: own,
        age: Duration::ZERO,
    })
}

/// Whether a process may still run and hold a permission. A process without an address
/// cannot be asked, so it has no permission to acknowledge for primaries; a machine that
/// refuses connections runs no process there.
async fn may_run(node: &FeedNode) -> bool {
    match node.address {
        Some(address) => liveness::probe(address).await != ProcessState::Ended,
        None => false,
    }
}
