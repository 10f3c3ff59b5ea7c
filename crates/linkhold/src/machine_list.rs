//! The platform's machine list: leaving back ends, and addresses of nodes.
//!
//! The list lags and is only a hint: it can keep new work away from an instance
//! that the table still lists as active, and nothing else. While the list cannot
//! be read, its last content remains in effect.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use kameo::actor::ActorRef;

use crate::log_event::{Event, EventName};
use crate::peer::{AddSeeds, MembershipActor};
use crate::platform::{MachineState, PlatformClient};

/// Addresses of leaving machines, readable without waiting.
pub type LeavingMachines = Arc<ArcSwap<HashSet<SocketAddr>>>;

/// Reads the list periodically, without end.
pub async fn follow(
    client: PlatformClient,
    poll: Duration,
    leaving: LeavingMachines,
    membership: Option<ActorRef<MembershipActor>>,
) {
    loop {
        if let Ok(machines) = client.machines().await {
            let nodes = machines.iter().filter_map(|machine| machine.peer).collect();
            if let Some(membership) = &membership {
                // The actor stops only when the node ends.
                let _ = membership.tell(AddSeeds(nodes)).await;
            }
            let listed = machines
                .into_iter()
                .filter(|machine| machine.state == MachineState::Leaving)
                .map(|machine| machine.address)
                .collect();
            publish(&leaving, listed);
        }
        tokio::time::sleep(poll).await;
    }
}

fn publish(leaving: &LeavingMachines, listed: HashSet<SocketAddr>) {
    let before = leaving.load();
    if **before == listed {
        return;
    }
    for address in listed.symmetric_difference(&before) {
        Event::info(EventName::MachineLeaving)
            .field("address", address)
            .field("leaving", listed.contains(address))
            .log();
    }
    leaving.store(Arc::new(listed));
}
