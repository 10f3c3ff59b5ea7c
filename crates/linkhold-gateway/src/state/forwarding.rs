//! Streams to owners of connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use linkhold_events::Event;
use linkhold_peer::PeerKey;

use crate::cluster_state::lock;
use crate::forward::link::{Link, LinkState};

/// How long an owner that was unreachable or silent is not used.
const OWNER_SUSPENSION: Duration = Duration::from_millis(1_500);
/// Streams to owners, and connections lent to other nodes.
#[derive(Default)]
pub(crate) struct Forwarding {
    links: Mutex<HashMap<SocketAddr, Arc<Link>>>,
    suspended_until: Mutex<HashMap<SocketAddr, Instant>>,
    /// Number of connections lent to other nodes.
    pub lent_connections: Arc<AtomicUsize>,
}

impl Forwarding {
    /// The stream to an owner, opened if there is none.
    pub fn link(&self, owner: SocketAddr, key: PeerKey) -> Arc<Link> {
        let mut links = lock(&self.links);
        if let Some(link) = links.get(&owner)
            && link.state() != LinkState::Ended
        {
            return link.clone();
        }
        let link = Link::open(owner, key);
        links.insert(owner, link.clone());
        link
    }

    /// Number of connections lent to other nodes for their transactions.
    pub fn lent_connections(&self) -> usize {
        self.lent_connections.load(Ordering::Relaxed)
    }

    /// Stops using an owner for a while: it was unreachable or silent, or did not take
    /// a statement.
    pub fn suspend(&self, owner: SocketAddr, reason: &'static str) {
        let until = Instant::now() + OWNER_SUSPENSION;
        lock(&self.suspended_until).insert(owner, until);
        lock(&self.links).remove(&owner);
        Event::info("owner_passed_over")
            .field("owner", owner)
            .field("reason", reason)
            .field("for_ms", OWNER_SUSPENSION.as_millis())
            .log();
    }

    /// The first owner that is neither suspended nor silent.
    pub fn choose(&self, owners: &[SocketAddr]) -> Option<SocketAddr> {
        let now = Instant::now();
        let suspended_until = lock(&self.suspended_until);
        let links = lock(&self.links);
        let is_silent = |owner: &SocketAddr| {
            let link = links.get(owner);
            link.is_some_and(|link| link.state() == LinkState::Silent)
        };
        owners
            .iter()
            .filter(|owner| !is_silent(owner))
            .find(|owner| suspended_until.get(owner).is_none_or(|until| now >= *until))
            .copied()
    }
}
